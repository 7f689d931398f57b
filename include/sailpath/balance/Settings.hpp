#pragma once

#include <sailpath/core/Time.hpp>

#include <cstdint>
#include <string>

namespace sailpath::balance
{
////////////////////////////////////////////////////////////
/// \brief How far the requests of a workspace may exceed its quota, summed over all nodes
////////////////////////////////////////////////////////////
struct QuotaTolerance
{
    core::Duration window{std::chrono::seconds{5}}; //!< Time window over which the requests of a workspace are counted
    double         excess{0.1};                     //!< Tolerated excess in one window, as a share of the quota
    double         slack{20};                       //!< Further tolerated excess in one window, in requests
};

////////////////////////////////////////////////////////////
/// \brief Constants of one node's decisions
////////////////////////////////////////////////////////////
struct Settings
{
    std::string    dataCentre;                            //!< Data centre of this node
    double         retryRatio{0.1};                       //!< Retries and hedges as a share of requests, fleet-wide
    double         retryExtra{0};                         //!< Retries and hedges beyond that share, fleet-wide
    core::Duration retryWindow{std::chrono::seconds{10}}; //!< Time window over which the retry budget is counted
    core::Duration otherDataCentreRoundTrip{
        std::chrono::milliseconds{4}};                        //!< Assumed round trip to another data centre
    core::Duration connectCost{std::chrono::milliseconds{8}}; //!< Added to the estimate when a new connection is needed
    core::Duration reportDecayTime{std::chrono::milliseconds{150}}; //!< Time constant of a load report's loss of weight
    core::Duration answerTripReserve{
        std::chrono::milliseconds{8}}; //!< Part of the deadline reserved for the answer's trip back
    core::Duration initialWorkEstimate{
        std::chrono::milliseconds{100}}; //!< Assumed service time before the first measurement
    core::Duration configurationWait{
        std::chrono::milliseconds{100}}; //!< Wait for the first configuration of a caller that states no time left
    core::Duration maxConfigurationWait{std::chrono::seconds{
        3}}; //!< From the process's start; a node without a configuration reads the store after 2 s in any case
    core::Duration defaultRetryAfter{
        std::chrono::milliseconds{200}}; //!< Retry-After of a refusal whose cause may end soon
    core::Duration leavingGrace{
        std::chrono::seconds{1}}; //!< Time from a server's shutdown notice during which it may still get requests that
                                  //!< no other server can take
    core::Duration maxConfigurationAgeToDeny{
        core::Duration::max()};    //!< Age since the last confirmation up to which the configuration may deny a request
    double         stuckFactor{3}; //!< Multiple of the expected time after which an attempt counts as stuck
    core::Duration minHedgeInterval{
        std::chrono::milliseconds{10}}; //!< Shortest time between two decisions on a further send of one request
    double         probeRate{20};       //!< Probes per second that one server may get from all nodes together
    core::Duration freshReportAge{std::chrono::milliseconds{15}};    //!< Age up to which a load report needs no probe
    core::Duration probeRoundTimeout{std::chrono::milliseconds{15}}; //!< Longest wait for the answers to a probe round
    core::Duration probeRoundPause{
        std::chrono::milliseconds{10}};   //!< Pause after a probe round that found no suitable server
    unsigned    probesInFirstRound{2};    //!< Probes sent at once in the first round of a search
    unsigned    probesPerRound{4};        //!< Probes sent at once in each later round
    bool        probing{true};            //!< Probe the load of servers before a request is sent
    unsigned    maxAnswersWithoutLoad{6}; //!< Answers without a load report after which a service is no longer probed
    std::size_t subsetSize{64};           //!< Servers of a service in this node's subset, which is searched first
    unsigned outsideSubsetSamples{16}; //!< Servers sampled outside it in further rounds, or when none in it is usable
    bool     nearFirst{true};          //!< Probe servers of the own data centre first
    double   connectionShare{0.8};     //!< Share of an instance's connection limit that all nodes together may use
    double   warmUpExcess{1.5};   //!< Tolerated requests to a cold instance in one second, as a multiple of its rate
    double   warmUpSlack{8};      //!< Further tolerated requests to a cold instance in one second
    QuotaTolerance quotas;        //!< Tolerance of the workspace quotas
    std::uint32_t  self{0};       //!< Short hash of this node's name among the fleet members
    std::uint64_t  seed{1};       //!< Seed of the random choices
    bool           hedging{true}; //!< Send a hedge when an answer is about to be late
    bool           admissionControl{true}; //!< Refuse requests whose answers are expected to be late
};

} // namespace sailpath::balance
