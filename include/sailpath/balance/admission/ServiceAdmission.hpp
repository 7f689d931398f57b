#pragma once

#include <sailpath/balance/admission/AdmissionState.hpp>
#include <sailpath/balance/admission/Applicant.hpp>
#include <sailpath/balance/admission/BestLoad.hpp>
#include <sailpath/balance/admission/DemandShares.hpp>
#include <sailpath/balance/admission/LoadController.hpp>
#include <sailpath/core/Time.hpp>

namespace sailpath::balance::admission
{
////////////////////////////////////////////////////////////
/// \brief Load of one instance as it reported it, requests of all nodes included
////////////////////////////////////////////////////////////
struct LoadSample
{
    unsigned running{0}; //!< Requests being processed
    unsigned waiting{0}; //!< Requests in the instance's queue
    unsigned slots{1};   //!< Requests that the instance processes at the same time
};

////////////////////////////////////////////////////////////
/// \brief Decides how much work a node gives a service, and whose
///
/// Answers the load pattern of a burst that drives all instances of a service past the load at which they do most work.
/// The load reports that a node sees count the requests of all nodes, so no messages are needed.
////////////////////////////////////////////////////////////
class ServiceAdmission
{
public:
    explicit ServiceAdmission(core::Timestamp startedAt);

    void recordLoad(const LoadSample& sample, core::Timestamp now); //!< Record a report of an answer or a probe

    ////////////////////////////////////////////////////////////
    /// \brief Record a successful answer
    ///
    /// \param sample    Load report in the answer, without the answered request
    /// \param heldAtSend Requests that the instance held at the send, the answered one included
    /// \param latencyMs From the send to the answer, milliseconds
    /// \param workMs    Usual processing time of the route, milliseconds
    /// \param inTime    Whether the answer came within the target latency
    ////////////////////////////////////////////////////////////
    void recordAnswer(const LoadSample& sample, double heldAtSend, double latencyMs, double workMs, bool inTime,
                      core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Record an applicant and return the probability with which it gets room now
    ////////////////////////////////////////////////////////////
    [[nodiscard]] double chanceOf(const Applicant& applicant, core::Timestamp now);

    [[nodiscard]] bool limits(core::Timestamp now) const; //!< Whether applicants are refused for lack of room

    [[nodiscard]] AdmissionState state(core::Timestamp now) const; //!< For logs, metrics and the status page

private:
    BestLoad       m_best;       //!< Learns the load at which the instances do most work
    LoadController m_controller; //!< Keeps the load at that
    DemandShares   m_shares;     //!< Divides what is admitted
};

} // namespace sailpath::balance::admission
