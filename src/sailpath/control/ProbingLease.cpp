#include <sailpath/control/ProbingLease.hpp>

#include <sailpath/documents/StoreKeys.hpp>
#include <sailpath/entry/SteadyClock.hpp>

namespace sailpath::control
{
namespace
{
////////////////////////////////////////////////////////////
node::LeaseResult toLeaseResult(ports::StoreStatus status)
{
    switch (status)
    {
    case ports::StoreStatus::Ok:
        return node::LeaseResult::Held;
    case ports::StoreStatus::Conflict:
        return node::LeaseResult::Gone;
    default:
        return node::LeaseResult::Failed;
    }
}

} // namespace

////////////////////////////////////////////////////////////
ProbingLease::ProbingLease(ports::Store& store, const node::ControllerSettings& settings) :
m_store(store),
m_settings(settings)
{
}

////////////////////////////////////////////////////////////
node::LeaseAnswer ProbingLease::acquire(const node::AcquireLease& action)
{
    node::LeaseAnswer answer;
    answer.group = action.group;
    answer.sentAt = entry::steadyNow();
    const ports::LeaseGrant grant =
        action.lease == 0 ? m_store.grant(m_settings.leaseLength) : m_store.renew(action.lease);
    answer.result = toLeaseResult(grant.status);
    answer.lease = grant.lease;
    answer.length = grant.length;
    if (answer.result != node::LeaseResult::Held)
        return answer;

    const std::string        key = std::string(documents::proberPrefix) + std::to_string(action.group);
    const ports::WriteAnswer write = m_store.compareAndSwap({key, m_settings.self.name, 0, answer.lease});
    if (write.status == ports::StoreStatus::Conflict)
        answer.result = node::LeaseResult::HeldByOther;
    else if (write.status != ports::StoreStatus::Ok)
        answer.result = node::LeaseResult::Failed;
    return answer;
}

////////////////////////////////////////////////////////////
node::LeaseAnswer ProbingLease::renew(std::int64_t lease)
{
    node::LeaseAnswer answer;
    answer.renewal = true;
    answer.sentAt = entry::steadyNow();
    const ports::LeaseGrant grant = m_store.renew(lease);
    answer.result = toLeaseResult(grant.status);
    answer.lease = lease;
    answer.length = grant.length;
    return answer;
}

} // namespace sailpath::control
