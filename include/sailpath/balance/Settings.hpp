#pragma once

#include <sailpath/core/Time.hpp>

#include <cstdint>
#include <string>

namespace sailpath::balance
{
////////////////////////////////////////////////////////////
/// \brief How exactly the quotas of workspaces are kept over all nodes together
////////////////////////////////////////////////////////////
struct QuotaTolerance
{
    core::Duration window{std::chrono::seconds{5}}; //!< Span that what a workspace sends is counted over
    double         excess{0.1};                     //!< Part of its quota that it may send beyond it in the span
    double         slack{20};                       //!< And so many requests more
};

////////////////////////////////////////////////////////////
/// \brief Constants of one node's decisions
////////////////////////////////////////////////////////////
struct Settings
{
    std::string    dataCentre;                            //!< Where this node runs
    double         retryRatio{0.1};                       //!< Further sends as a share of requests, over the fleet
    double         retryExtra{0};                         //!< Further sends beyond the share, over the fleet
    core::Duration retryWindow{std::chrono::seconds{10}}; //!< Span that the retry budget is counted over
    core::Duration otherDataCentreRoundTrip{
        std::chrono::milliseconds{4}};                                  //!< Assumed round trip to another data centre
    core::Duration connectCost{std::chrono::milliseconds{8}};           //!< What a new connection is weighed as
    core::Duration reportDecayTime{std::chrono::milliseconds{150}};     //!< How fast a load report loses its worth
    core::Duration answerTripReserve{std::chrono::milliseconds{8}};     //!< Kept back of the time for the answer's way
    core::Duration initialWorkEstimate{std::chrono::milliseconds{100}}; //!< Assumed work before anything was measured
    core::Duration configurationWait{
        std::chrono::milliseconds{100}}; //!< Longest wait of a request for the first configuration
    core::Duration defaultRetryAfter{std::chrono::milliseconds{200}}; //!< When a lack of servers may be over
    core::Duration leavingGrace{
        std::chrono::seconds{1}}; //!< A server that leaves still gets what no other may be given
    core::Duration maxConfigurationAgeToDeny{
        core::Duration::max()};    //!< Age of the configuration up to which it denies a request
    double         stuckFactor{3}; //!< Expected times after which a send is taken for stuck
    double         probeRate{20};  //!< Probes that a server may get a second, from all nodes
    core::Duration freshReportAge{std::chrono::milliseconds{15}};    //!< Age up to which a report needs no probe
    core::Duration probeRoundTimeout{std::chrono::milliseconds{15}}; //!< Longest wait for the probes of one round
    core::Duration probeRoundPause{std::chrono::milliseconds{10}}; //!< Between rounds of probes that found nothing good
    unsigned       probesInFirstRound{2};                          //!< Servers asked at once to begin with
    unsigned       probesPerRound{4};                              //!< Servers asked at once when these were not good
    bool           probing{true};                                  //!< Ask servers for their load before a send
    unsigned       maxAnswersWithoutLoad{6}; //!< Answers without a load report after which a service is not asked
    std::size_t    subsetSize{64};           //!< Of a service, among which this node looks first
    unsigned       outsideSubsetSamples{16}; //!< Others, looked at when these do not do
    bool           nearFirst{true};          //!< Ask servers of the own data centre first
    double         connectionShare{0.8};     //!< Of an instance's connections, used by all nodes together
    double         warmUpExcess{1.5};        //!< Times its declared rate that a cold instance bears in one second
    double         warmUpSlack{8};           //!< And so many requests more
    QuotaTolerance quotas;                   //!< How exactly quotas are kept
    std::uint32_t  self{0};                  //!< Short hash of this node's name among the members of the fleet
    std::uint64_t  seed{1};                  //!< Of the random choices
    bool           hedging{true};            //!< Send again before an answer is late
    bool           admissionControl{true};   //!< Refuse what is expected to be late
};

} // namespace sailpath::balance
