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
/// \brief When requests of a service are sent again
////////////////////////////////////////////////////////////
struct RetryRule
{
    unsigned attempts{2}; //!< Attempts in all, the first included
    double   budget{0.1}; //!< Retries as a share of first attempts

    friend bool operator==(const RetryRule&, const RetryRule&) = default;
};

////////////////////////////////////////////////////////////
/// \brief How servers of a service are probed
////////////////////////////////////////////////////////////
struct Probe
{
    std::string    path{"/load"};                      //!< What is asked for
    core::Duration cost{std::chrono::milliseconds{6}}; //!< Time that one probe takes from the server

    friend bool operator==(const Probe&, const Probe&) = default;
};

////////////////////////////////////////////////////////////
/// \brief A service: a pool of backend servers and the rules for its requests
////////////////////////////////////////////////////////////
struct Service
{
    std::string                name;      //!< Unique within its workspace
    std::vector<BackendServer> servers;   //!< The pool
    std::vector<Route>         routes;    //!< Rules by path; none matching means not repeatable
    RetryRule                  retry;     //!< When to send again
    Probe                      probe;     //!< How to measure
    unsigned                   queue{64}; //!< Requests that may wait on one VM
    core::Duration             maxWait{std::chrono::milliseconds{250}}; //!< Longest wait for a server
    core::Duration             deadline{std::chrono::seconds{10}}; //!< Time a request has when its caller sets none
    core::Duration claimWindow{std::chrono::minutes{10}}; //!< How long copies of a keyed request are recognised

    ////////////////////////////////////////////////////////////
    /// \brief Find the route for a request
    ///
    /// \param method HTTP method
    /// \param path   Request path
    ///
    /// \return Route with the longest matching prefix; one that forbids
    ///         repeating when none matches
    ////////////////////////////////////////////////////////////
    [[nodiscard]] const Route& routeFor(std::string_view method, std::string_view path) const;

    friend bool operator==(const Service&, const Service&) = default;
};

} // namespace sailpath::config
