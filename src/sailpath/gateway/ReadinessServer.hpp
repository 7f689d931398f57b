#pragma once

#include <sailpath/adapters/settings/Endpoint.hpp>

#include <asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace sailpath::gateway::priv
{
////////////////////////////////////////////////////////////
/// \brief Says whether this node takes new connections: 200 or 503
////////////////////////////////////////////////////////////
class ReadinessServer
{
public:
    ReadinessServer(asio::io_context& context, const adapters::settings::Endpoint& listen, std::string path,
                    std::function<bool()> ready);

    [[nodiscard]] std::uint16_t port() const; //!< Where it listens

private:
    void accept();

    asio::ip::tcp::acceptor m_acceptor; //!< Listens
    std::string             m_path;     //!< What is asked for
    std::function<bool()>   m_ready;    //!< The answer
};

} // namespace sailpath::gateway::priv
