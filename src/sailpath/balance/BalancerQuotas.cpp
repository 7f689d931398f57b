// Keys and quotas of workspaces.

#include <sailpath/balance/Balancer.hpp>

#include <utility>

namespace sailpath::balance
{
namespace
{
constexpr auto returnsWithin = std::chrono::seconds{10}; // Of a refusal

} // namespace

////////////////////////////////////////////////////////////
quotas::ReturnSign Balancer::estimateReturn(const Arrival& arrival, const deployment::HostRoute& route,
                                            core::Timestamp now)
{
    if (std::exchange(m_refused, false))
        m_refusedAt = now;
    const deployment::Workspace* workspace = m_keys.find(arrival.key);
    // Callers that another node refused return to this one as well.
    const bool quotaBinds = workspace != nullptr && m_quotas.admissionProbability(workspace->name, now) < 1;
    const bool calm = !quotaBinds && (!m_refusedAt || now - *m_refusedAt > returnsWithin);
    return m_returns[route.name].observe(arrival.firstOnConnection, calm);
}

////////////////////////////////////////////////////////////
bool Balancer::refusedByKey(Ticket ticket, const Arrival& arrival, const deployment::HostRoute& route,
                            const quotas::ReturnSign& sign, core::Timestamp now)
{
    const deployment::Workspace* workspace = m_keys.find(arrival.key);
    if (workspace == nullptr)
    {
        if (!m_keys.needed() || route.anonymous)
            return false;
        // The key may have been issued since the last confirmation of the configuration.
        if (mayDeny(now))
            refuse(ticket, {RefusalReason::UnknownKey, false, {}});
        else
            refuse(ticket, {RefusalReason::OldKeys, false, m_settings.defaultRetryAfter});
        return true;
    }
    quotas::QuotaApplicant applicant;
    applicant.workspace = workspace->name;
    applicant.rank = workspace->priority.value_or(route.priority);
    applicant.returning = sign.probability;
    applicant.confidence = sign.confidence;
    if (m_quotas.admits(applicant, m_random, now))
        return false;
    refuse(ticket,
           {RefusalReason::OverQuota, false, retryAfterForTurn(m_quotas.admissionProbability(workspace->name, now))});
    return true;
}

////////////////////////////////////////////////////////////
std::vector<QuotaState> Balancer::quotas(core::Timestamp now) const
{
    return m_quotas.listStates(now);
}

////////////////////////////////////////////////////////////
std::optional<QuotaState> Balancer::quota(std::string_view workspace, core::Timestamp now) const
{
    return m_quotas.findState(workspace, now);
}

////////////////////////////////////////////////////////////
bool Balancer::hasQuotas() const
{
    return m_quotas.hasQuotas();
}

////////////////////////////////////////////////////////////
void Balancer::recordFleetContact(core::Timestamp at)
{
    m_quotas.recordFleetContact(at);
}

} // namespace sailpath::balance
