#pragma once

#include <sailpath/config/BackendServer.hpp>
#include <sailpath/config/Route.hpp>
#include <sailpath/core/Time.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace sailpath::config
{
////////////////////////////////////////////////////////////
/// \brief Limits on retries of a service's requests
////////////////////////////////////////////////////////////
struct RetryRule
{
    unsigned attempts{2}; //!< Maximum attempts per request, including the first
    double   budget{0.1}; //!< Retries allowed, as a fraction of first attempts

    friend bool operator==(const RetryRule&, const RetryRule&) = default;
};

////////////////////////////////////////////////////////////
/// \brief How the servers of a service are probed for their load
////////////////////////////////////////////////////////////
struct Probe
{
    std::string    path{"/load"};                      //!< Path of the probe request
    core::Duration cost{std::chrono::milliseconds{6}}; //!< Server time that one probe consumes

    friend bool operator==(const Probe&, const Probe&) = default;
};

////////////////////////////////////////////////////////////
/// \brief A pool of backend servers and the rules for the requests to it
////////////////////////////////////////////////////////////
struct Service
{
    std::string                name;      //!< Unique within its workspace
    std::vector<BackendServer> servers;   //!< Backend servers of the pool
    std::vector<Route>         routes;    //!< Rules by path; a request without a matching route is not repeatable
    RetryRule                  retry;     //!< Limits on retries
    Probe                      probe;     //!< How servers are probed
    unsigned                   queue{64}; //!< Longest queue of waiting requests on each VM
    core::Duration             maxWait{std::chrono::milliseconds{250}}; //!< Longest time a request waits for a server
    core::Duration             deadline{std::chrono::seconds{10}}; //!< Time limit of a request whose caller sets none
    core::Duration claimWindow{std::chrono::minutes{10}}; //!< How long duplicates of a keyed request are detected

    ////////////////////////////////////////////////////////////
    /// \brief Find the route that applies to a request
    ///
    /// \param method HTTP method
    /// \param path   Request path
    ///
    /// \return Route with the longest matching path prefix; a default route
    ///         that is not repeatable if none matches
    ////////////////////////////////////////////////////////////
    [[nodiscard]] const Route& routeFor(std::string_view method, std::string_view path) const;

    friend bool operator==(const Service&, const Service&) = default;
};

} // namespace sailpath::config
