#pragma once

#include <sailpath/core/Time.hpp>
#include <sailpath/deployment/Deployment.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sailpath::support
{
////////////////////////////////////////////////////////////
/// \brief A kind of request that callers of the model make
////////////////////////////////////////////////////////////
struct KindOfRequest
{
    std::string                        name;                 //!< Of its route
    unsigned                           priority{0};          //!< Rank; 0 goes first
    core::Duration                     target{};             //!< Time within which an answer is wanted
    core::Duration                     timeout{};            //!< Of its route
    core::Duration                     patience{};           //!< How long a caller tries
    double                             patienceSpread{0};    //!< Part of it that callers' whole times differ by
    double                             workMs{100};          //!< Mean work at a pace of 1
    double                             perSecond{10};        //!< From all callers
    unsigned                           retries{1};           //!< Further tries of a caller
    bool                               repeatable{true};     //!< May run more than once
    std::vector<deployment::SplitPart> parts{{"portal", 1}}; //!< Services
    double                             lateWorth{0.1};       //!< Of an answer after the target
};

////////////////////////////////////////////////////////////
/// \brief A server of the model
////////////////////////////////////////////////////////////
struct ModelServer
{
    std::string     id;                //!< Its name
    std::string     service{"portal"}; //!< What it belongs to
    std::string     dataCentre{"dc0"}; //!< Where it runs
    unsigned        slots{3};          //!< Requests it works on at once
    unsigned        queue{12};         //!< Requests it keeps waiting
    bool            failing{false};    //!< Loses what it is sent
    core::Timestamp joined{};          //!< When its entry was first written

    std::optional<double> limit{};        //!< Requests a second from all nodes together that its answers name
    bool                  leaving{false}; //!< All its answers say that it shuts down
    core::Duration        backOff{};      //!< It turns requests away and asks for none for so long; 0: it takes them
};

////////////////////////////////////////////////////////////
/// \brief What the model's surroundings are like
////////////////////////////////////////////////////////////
struct ModelSettings
{
    unsigned       nodes{12};                                 //!< Balancers
    unsigned       dataCentres{3};                            //!< That nodes and servers are spread over
    double         noiseShare{0.35};                          //!< Of the time a server works slower
    double         noisePace{5};                              //!< How much slower
    core::Duration noiseSpan{std::chrono::milliseconds{150}}; //!< Between changes of its pace
    bool           paceHolds{false};                          //!< Work keeps the pace that it begins at
    core::Duration coldTime{std::chrono::seconds{3}};         //!< A server is slow from its start
    double         coldPace{2};                               //!< How much slower
    double         warmUpRate{0};     //!< Requests a second that a cold server bears; 0: no limit
    double         warmUpExcess{1.5}; //!< Times that in one second
    double         warmUpSlack{8};    //!< And so many requests more
    double         firstNodeShare{0}; //!< Share of the callers that come to the first node, besides its even share
    double         membersKnown{1};   //!< Share of the other nodes that each node knows
    double         knee{0.8};         //!< Share of the slots above which a server is slower
    double         kneePace{1};       //!< How much slower
    core::Duration nearTrip{std::chrono::microseconds{100}}; //!< One way within a data centre
    core::Duration farTrip{std::chrono::microseconds{1400}}; //!< One way between data centres
    core::Duration clientTrip{std::chrono::milliseconds{1}}; //!< One way from a caller
    core::Duration handshake{std::chrono::milliseconds{1}};  //!< Of a new connection
    core::Duration idleTimeout{std::chrono::seconds{6}};     //!< Until a connection at rest is closed
    double         probeRate{60};                            //!< Probes a server may get a second
    double         retryRatio{0.1};                          //!< Of the fleet's retry budget
    double         retryExtra{56};                           //!< Of the fleet's retry budget
    bool           nearFirst{true};                          //!< As in the balancer's settings
    bool           passesIdentity{true}; //!< Balancers are told what a request is known by when it comes again
    core::Duration reportDelay{std::chrono::milliseconds{100}}; //!< Longest way of news between nodes; 0: none is told
    core::Duration entryLifetime{std::chrono::milliseconds{4500}}; //!< Until the entry of a server that ended is gone
    core::Duration replacementDelay{
        std::chrono::seconds{3}}; //!< Until another server takes the place of one that ended
    std::uint64_t seed{1};        //!< Of everything random
};

////////////////////////////////////////////////////////////
/// \brief What came of a request that ends the servers that run it
////////////////////////////////////////////////////////////
struct ModelCulprit
{
    std::vector<core::Timestamp> sends;         //!< When it reached servers
    std::vector<core::Timestamp> ends;          //!< When servers ended under it
    std::size_t                  lostBeside{0}; //!< Other requests lost with these

    /// \brief How often it reached servers later than a time after the third of these had ended
    [[nodiscard]] std::size_t countSendsAfterThirdEnd(core::Duration later) const
    {
        if (ends.size() < 3)
            return 0;
        return static_cast<std::size_t>(
            std::count_if(sends.begin(), sends.end(), [&](core::Timestamp at) { return at > ends[2] + later; }));
    }
};

////////////////////////////////////////////////////////////
/// \brief What a server got since it first named its limit
////////////////////////////////////////////////////////////
struct ModelLimited
{
    std::optional<core::Timestamp>         limitReportedAt; //!< Its first answer with a limit was at a node
    std::vector<core::Timestamp>           arrivals;        //!< Requests, whoever sent them
    std::vector<std::size_t>               senders;         //!< Node that sent each
    std::map<std::size_t, core::Timestamp> informedAt;      //!< When nodes first passed on an answer with the limit

    /// \brief Requests from one time to another
    [[nodiscard]] std::size_t countBetween(core::Timestamp from, core::Timestamp to) const
    {
        return static_cast<std::size_t>(
            std::count_if(arrivals.begin(), arrivals.end(), [&](core::Timestamp at) { return at >= from && at < to; }));
    }

    /// \brief Most requests in any span that ends at a time or later, from nodes that knew a while before its end
    [[nodiscard]] std::size_t maxFromInformedNodes(core::Duration span, core::Duration knewFor,
                                                   core::Timestamp end) const
    {
        std::size_t most = 0;
        for (const core::Timestamp last : arrivals)
        {
            std::size_t count = 0;
            for (std::size_t i = 0; last >= end && i < arrivals.size(); ++i)
            {
                const auto known = informedAt.find(senders[i]);
                const bool counts = known != informedAt.end() && known->second + knewFor <= last;
                count += counts && arrivals[i] <= last && arrivals[i] > last - span ? 1 : 0;
            }
            most = std::max(most, count);
        }
        return most;
    }

    /// \brief Most requests in any span of a length that begins at a time or later
    [[nodiscard]] std::size_t maxInSpan(core::Duration span, core::Timestamp from) const
    {
        std::size_t most = 0;
        for (const core::Timestamp at : arrivals)
        {
            if (at >= from)
                most = std::max(most, countBetween(at, at + span));
        }
        return most;
    }
};

////////////////////////////////////////////////////////////
/// \brief What a server got against its own notices
////////////////////////////////////////////////////////////
struct ModelNoticed
{
    /// \brief A node that was turned away and asked to back off
    struct BackOff
    {
        std::size_t     node{0};  //!< Which
        core::Timestamp at{};     //!< When the server answered it
        core::Duration  length{}; //!< For how long
    };

    std::vector<std::pair<std::size_t, core::Timestamp>> arrivals; //!< Requests: from which node, when
    std::map<std::size_t, core::Timestamp> leavingReportedAt;      //!< When nodes first had an answer that it leaves
    std::vector<BackOff>                   backOffs;               //!< All that it asked for

    /// \brief Requests from nodes that had known for a time that it leaves
    [[nodiscard]] std::size_t countLateAfterLeaving(core::Duration knew) const
    {
        const auto late = [&](const auto& request)
        {
            const auto told = leavingReportedAt.find(request.first);
            return told != leavingReportedAt.end() && request.second > told->second + knew;
        };
        return static_cast<std::size_t>(std::count_if(arrivals.begin(), arrivals.end(), late));
    }

    /// \brief Most requests of one node in one back-off, later than a time after it was asked for
    [[nodiscard]] std::size_t maxInBackOff(core::Duration later) const
    {
        std::size_t most = 0;
        for (const BackOff& backOff : backOffs)
        {
            const auto within = [&](const auto& request)
            {
                return request.first == backOff.node && request.second > backOff.at + later &&
                       request.second <= backOff.at + backOff.length;
            };
            most = std::max(most, static_cast<std::size_t>(std::count_if(arrivals.begin(), arrivals.end(), within)));
        }
        return most;
    }
};

////////////////////////////////////////////////////////////
/// \brief One try of a caller
////////////////////////////////////////////////////////////
struct ModelTry
{
    std::size_t     kind{0};        //!< Index of its kind
    core::Timestamp at{};           //!< When it was made
    std::string     firstService;   //!< Service that it was first sent to; empty when refused unsent
    bool            isRetry{false}; //!< Its caller had tried before
    bool            moved{false};   //!< It was sent to a second service
};

////////////////////////////////////////////////////////////
/// \brief What came of a kind of request
////////////////////////////////////////////////////////////
struct ModelTally
{
    std::size_t requests{0}; //!< Requests, each with all its tries
    std::size_t served{0};   //!< In the caller's time
    std::size_t inTarget{0}; //!< Within the target from the first try on

    [[nodiscard]] double servedShare() const
    {
        return requests == 0 ? 0 : static_cast<double>(served) / static_cast<double>(requests);
    }
    [[nodiscard]] double creditShare(double late) const
    {
        const auto inTime = static_cast<double>(inTarget);
        return requests == 0 ? 0
                             : (inTime + late * (static_cast<double>(served) - inTime)) / static_cast<double>(requests);
    }
    [[nodiscard]] double targetShare() const
    {
        return requests == 0 ? 0 : static_cast<double>(inTarget) / static_cast<double>(requests);
    }
};

} // namespace sailpath::support
