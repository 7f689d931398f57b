#pragma once

#include <sailpath/balance/Load.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sailpath::gateway
{
////////////////////////////////////////////////////////////
/// \brief Names and forms that callers, servers and the gateway agree on
///
/// Filled by the folder that knows the surroundings; decides nothing.
////////////////////////////////////////////////////////////
struct Dialect
{
    std::string requestId;           //!< Header: id of one sending of a request
    std::string deadlineMs;          //!< Header: milliseconds that the sender waits
    std::string targetInstance;      //!< Header: the only instance that may run the request
    std::string instanceId;          //!< Header: the instance that answers a probe
    std::string signature;           //!< Header: the server's mark on its answer
    std::string notExecuted;         //!< Header: the server did not run the request
    std::string load;                //!< Header: load report
    std::string key;                 //!< Header: key of the caller's workspace; no server is told it
    std::string workspace;           //!< Header: workspace that a request is sent for, told to servers
    std::string warmUpMs;            //!< Header: how many milliseconds longer the instance that answers a probe is cold
    std::vector<std::string> limits; //!< Headers, spelled either way: requests a second that the server takes from all
                                     //!< nodes together
    std::vector<std::string> leaving; //!< Headers, spelled either way: the server shuts down and wants no new requests
    std::string              readinessPath; //!< Path that asks whether this node takes new connections

    std::optional<balance::Load> (*parseLoad)(std::string_view text){nullptr}; //!< Reads a load report
    std::optional<double> (*parseLimit)(std::string_view text){nullptr};       //!< Reads a limit; null: unreadable
    bool (*parseLeaving)(std::string_view text){nullptr};                      //!< Whether a value says so
};

} // namespace sailpath::gateway
