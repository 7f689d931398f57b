#pragma once

#include <sailpath/config/Workspace.hpp>
#include <sailpath/core/Findings.hpp>
#include <sailpath/core/Time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sailpath::replay
{
////////////////////////////////////////////////////////////
/// \brief Sizes and places of a trace
////////////////////////////////////////////////////////////
struct Setup
{
    std::uint64_t                  seed{1};                                 //!< Seed of everything random
    unsigned                       entries{16};                             //!< Nodes
    std::vector<std::string>       dataCentres;                             //!< Entries are spread over these in turn
    core::Duration                 oneWay{std::chrono::microseconds{1500}}; //!< Between data centres
    core::Duration                 oneWayInside{std::chrono::microseconds{50}}; //!< Within a data centre
    core::Duration                 connect{std::chrono::milliseconds{1}};       //!< Server time to open a connection
    std::vector<config::Workspace> workspaces;                                  //!< Declarations in force
};

////////////////////////////////////////////////////////////
/// \brief Requests at a steady random rate
////////////////////////////////////////////////////////////
struct LoadPhase
{
    core::Timestamp          from{};              //!< Start
    core::Timestamp          until{};             //!< End
    std::string              host;                //!< Host header
    std::string              method{"GET"};       //!< HTTP method
    std::string              path{"/"};           //!< Path
    double                   rate{0};             //!< Requests a second over all entries
    double                   workMs{5};           //!< Mean work at the server
    bool                     fixedWork{false};    //!< Work does not vary
    std::vector<std::string> chain;               //!< Hosts that each server calls in turn while it works
    bool                     passRetrySign{true}; //!< Servers pass on the sign not to retry
};

////////////////////////////////////////////////////////////
/// \brief One recorded request
////////////////////////////////////////////////////////////
struct Arrival
{
    core::Timestamp at{};          //!< When
    std::string     host;          //!< Host header
    std::string     method{"GET"}; //!< HTTP method
    std::string     path{"/"};     //!< Path
    double          workMs{5};     //!< Work at the server
};

////////////////////////////////////////////////////////////
/// \brief What happens to a server
////////////////////////////////////////////////////////////
enum class ServerEventKind
{
    Slow,         //!< Work takes `factor` times as long
    Drain,        //!< Says that it is leaving; stops when idle
    Reject,       //!< Answers 500 at once
    Down,         //!< Refuses connections; what it holds is lost
    Cold,         //!< Works, at first `factor` times slower, quickening over two seconds
    Lie,          //!< Reports no load
    DelayReports, //!< Reports its load of `factor` milliseconds ago
    Recover       //!< Works as at first
};

////////////////////////////////////////////////////////////
/// \brief A change of a server's behaviour
////////////////////////////////////////////////////////////
struct ServerEvent
{
    core::Timestamp at{};                           //!< When
    std::string     server;                         //!< Its name
    ServerEventKind kind{ServerEventKind::Recover}; //!< What happens
    double          factor{1};                      //!< How much
};

////////////////////////////////////////////////////////////
/// \brief What happens to an entry
////////////////////////////////////////////////////////////
struct EntryEvent
{
    core::Timestamp at{};          //!< When
    unsigned        entry{0};      //!< Which, from 0
    bool            serving{true}; //!< Gets new requests from then on; one that comes back knows nothing
};

////////////////////////////////////////////////////////////
/// \brief An outcome that the trace states
////////////////////////////////////////////////////////////
struct Expectation
{
    std::string           metric;                        //!< Name of a metric of `Report`
    std::string           host;                          //!< Only requests of this host; all when empty
    std::string           path;                          //!< Only requests of this path; all when empty
    core::Timestamp       from{};                        //!< Only requests that arrive from here
    core::Timestamp       until{core::Timestamp::max()}; //!< Only requests that arrive before
    std::optional<double> atMost;                        //!< Bound
    std::optional<double> atLeast;                       //!< Bound
};

////////////////////////////////////////////////////////////
/// \brief A whole trace
////////////////////////////////////////////////////////////
struct Trace
{
    Setup                    setup;        //!< Sizes and places
    std::vector<LoadPhase>   loads;        //!< Generated requests
    std::vector<Arrival>     arrivals;     //!< Recorded requests
    std::vector<ServerEvent> servers;      //!< Servers' events
    std::vector<EntryEvent>  entries;      //!< Entries' events
    std::vector<Expectation> expectations; //!< Stated outcomes
};

////////////////////////////////////////////////////////////
/// \brief A trace that was read
////////////////////////////////////////////////////////////
struct ReadTrace
{
    Trace          trace;    //!< What was read
    core::Findings findings; //!< Everything that is wrong, by line
};

////////////////////////////////////////////////////////////
/// \brief Read a trace: one JSON object a line, comments and empty lines allowed
///
/// \param text   The lines
/// \param source Name for findings
////////////////////////////////////////////////////////////
[[nodiscard]] ReadTrace readTrace(std::string_view text, std::string_view source);

} // namespace sailpath::replay
