#pragma once

#include <sailpath/fleet/FleetThread.hpp>
#include <sailpath/gateway/Dialect.hpp>

#include <functional>
#include <memory>

namespace sailpath::programs
{
////////////////////////////////////////////////////////////
/// \brief What a gateway needs of its surroundings
////////////////////////////////////////////////////////////
struct Surroundings
{
    using MakeSource =
        std::function<std::unique_ptr<replication::ItemSource>(asio::io_context&, const adapters::settings::Endpoint&)>;

    gateway::Dialect         dialect;    //!< Names and forms
    const fleet::Translator& translator; //!< Reads what operators and servers wrote
    MakeSource               makeSource; //!< Opens the store
};

////////////////////////////////////////////////////////////
/// \brief Run a gateway until it is told to stop
///
/// \return Exit code of the process
////////////////////////////////////////////////////////////
[[nodiscard]] int runGateway(int argc, char** argv, const Surroundings& surroundings);

} // namespace sailpath::programs
