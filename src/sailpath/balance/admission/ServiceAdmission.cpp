#include <sailpath/balance/admission/ServiceAdmission.hpp>

#include <algorithm>

namespace sailpath::balance::admission
{
namespace
{
////////////////////////////////////////////////////////////
double perSlot(double requests, unsigned slots)
{
    return requests / std::max(1U, slots);
}

} // namespace

////////////////////////////////////////////////////////////
ServiceAdmission::ServiceAdmission(core::Timestamp startedAt) :
m_shares(startedAt)
{
}

////////////////////////////////////////////////////////////
void ServiceAdmission::recordLoad(const LoadSample& sample, core::Timestamp now)
{
    m_controller.record(perSlot(sample.running + sample.waiting, sample.slots), m_best.value(), now);
}

////////////////////////////////////////////////////////////
void ServiceAdmission::recordAnswer(const LoadSample& sample, double heldAtSend, double latencyMs, double workMs,
                                    bool inTime, core::Timestamp now)
{
    const double load = perSlot((sample.running + sample.waiting + 1 + heldAtSend) / 2, sample.slots);
    m_best.record(load, latencyMs / std::max(1.0, workMs), inTime, now);
}

////////////////////////////////////////////////////////////
double ServiceAdmission::chanceOf(const Applicant& applicant, core::Timestamp now)
{
    const bool limited = limits(now);
    m_shares.record(applicant.rank, applicant.share, limited, now);
    if (!limited)
        return 1;
    return applicant.late ? 0 : m_shares.probability(applicant.rank, applicant.share, m_controller.admitted(now), now);
}

////////////////////////////////////////////////////////////
bool ServiceAdmission::limits(core::Timestamp now) const
{
    return m_controller.admitted(now) < 1;
}

////////////////////////////////////////////////////////////
AdmissionState ServiceAdmission::state(core::Timestamp now) const
{
    const double admitted = m_controller.admitted(now);
    return {m_controller.load(), m_best.value(), admitted, admitted < 1};
}

} // namespace sailpath::balance::admission
