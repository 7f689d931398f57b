#pragma once

#include <sailpath/core/Time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sailpath::deployment
{
////////////////////////////////////////////////////////////
/// \brief One of the services that share the requests of a route
////////////////////////////////////////////////////////////
struct SplitPart
{
    std::string service;   //!< Name of the service
    double      weight{1}; //!< Share of the requests, relative to the other parts

    friend bool operator==(const SplitPart&, const SplitPart&) = default;
};

////////////////////////////////////////////////////////////
/// \brief Rules for the requests of one host and path prefix
////////////////////////////////////////////////////////////
struct HostRoute
{
    std::string    name;                              //!< Unique in the deployment
    std::string    host;                              //!< Value of the Host header, without a port
    std::string    pathPrefix;                        //!< Begins and ends with a slash
    bool           repeatable{false};                 //!< A request may run more than once
    core::Duration timeout{std::chrono::seconds{10}}; //!< Longest time from a request's arrival to its final answer
    core::Duration targetLatency{std::chrono::seconds{1}}; //!< Wanted time from a request's arrival to its answer
    unsigned       priority{0};                            //!< Rank of the requests; 0 is the most urgent
    unsigned       attempts{1};                            //!< Most servers that one request is sent to
    std::vector<SplitPart> parts;                          //!< Services that share the requests; never empty
    bool                   anonymous{false};               //!< Requests need no key

    friend bool operator==(const HostRoute&, const HostRoute&) = default;
};

////////////////////////////////////////////////////////////
/// \brief Rules for all instances of a service
////////////////////////////////////////////////////////////
struct ServiceRule
{
    std::string    name;           //!< Unique in the deployment
    std::string    healthPath;     //!< Path that health probes request
    unsigned       connections{0}; //!< Most connections to an instance from all callers; 0 when not declared
    core::Duration warmUp{};       //!< Time that an instance stays cold after becoming cold
    double warmUpRate{0}; //!< Most requests per second to a cold instance from all nodes together; 0 for no limit

    friend bool operator==(const ServiceRule&, const ServiceRule&) = default;
};

////////////////////////////////////////////////////////////
/// \brief A customer: its keys, its request quota and the priority of its requests
////////////////////////////////////////////////////////////
struct Workspace
{
    std::string              name;     //!< Unique in the deployment; sent to servers with each request
    std::vector<std::string> keys;     //!< Keys of the workspace; each belongs to one workspace only
    std::optional<unsigned>  priority; //!< Overrides the route's priority; 0 is the most urgent
    double requestsPerSecond{0};       //!< Quota of requests sent to servers by all nodes together; 0 for no limit
    double burst{0};                   //!< Requests allowed at once on top of the quota

    friend bool operator==(const Workspace&, const Workspace&) = default;
};

////////////////////////////////////////////////////////////
/// \brief Limits on the size and duration of callers' requests
////////////////////////////////////////////////////////////
struct CallerLimits
{
    std::uint32_t  headBytes{16384};                   //!< Largest request head, in bytes
    std::uint64_t  bodyBytes{std::uint64_t{1} << 26U}; //!< Largest request body, in bytes
    core::Duration headTime{std::chrono::seconds{5}};  //!< Longest time for a head to arrive
    core::Duration idleTime{std::chrono::seconds{60}}; //!< Longest time without data, between requests or within a body

    friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

////////////////////////////////////////////////////////////
/// \brief All that operators declare; replaced as a whole
////////////////////////////////////////////////////////////
struct Deployment
{
    std::uint64_t            version{0};      //!< Rises with each change
    std::vector<HostRoute>   routes;          //!< Routes in the order of declaration
    std::vector<ServiceRule> services;        //!< Services in the order of declaration
    std::vector<Workspace>   workspaces;      //!< When empty, requests need no key
    CallerLimits             limits;          //!< Limits for callers
    std::vector<std::string> unknownKeywords; //!< Unknown values, as `PLACE=WORD`; read as the safest value

    friend bool operator==(const Deployment&, const Deployment&) = default;
};

} // namespace sailpath::deployment
