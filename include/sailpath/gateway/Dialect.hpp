#pragma once

#include <sailpath/balance/Load.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sailpath::gateway
{
////////////////////////////////////////////////////////////
/// \brief Header names and value formats shared by callers, servers and the gateway
///
/// Filled in by the code of the deployment platform; holds no logic of its own.
////////////////////////////////////////////////////////////
struct Dialect
{
    std::string              requestId;      //!< Header: request id, new each time that a caller sends a request
    std::string              deadlineMs;     //!< Header: milliseconds that the sender waits for the answer
    std::string              targetInstance; //!< Header: the only instance that may run the request
    std::string              instanceId;     //!< Header: the instance that sent the answer
    std::string              signature;      //!< Header: present on answers that come from a server
    std::string              notExecuted;    //!< Header: the server did not run the request
    std::string              load;           //!< Header: load report
    std::string              key;            //!< Header: key of the caller's workspace; never passed to servers
    std::string              workspace;      //!< Header: workspace of the request, set for servers
    std::string              warmUpMs; //!< Header: remaining warm-up time in ms of the instance that answers a probe
    std::vector<std::string> limits;   //!< Accepted headers: requests per second that the server takes from
                                       //!< all nodes together
    std::vector<std::string> leaving;  //!< Accepted headers: the server shuts down and takes no new requests
    std::string              readinessPath; //!< Path of the page that tells whether this node takes new connections

    std::optional<balance::Load> (*parseLoad)(std::string_view text){nullptr}; //!< Parse a load report
    std::optional<double> (*parseLimit)(std::string_view text){nullptr};       //!< Parse a limit; null if malformed
    bool (*parseLeaving)(std::string_view text){nullptr};                      //!< Whether the server leaves
};

} // namespace sailpath::gateway
