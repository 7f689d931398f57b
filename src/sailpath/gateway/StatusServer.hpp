#pragma once

#include <sailpath/adapters/settings/Endpoint.hpp>

#include <asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace sailpath::gateway::priv
{
////////////////////////////////////////////////////////////
/// \brief Response to a request for one status page
////////////////////////////////////////////////////////////
struct StatusAnswer
{
    unsigned    status{200}; //!< HTTP status: 200 or 503
    std::string body;        //!< Plain text
};

////////////////////////////////////////////////////////////
/// \brief HTTP server for pages about this node, such as readiness and metrics
////////////////////////////////////////////////////////////
class StatusServer
{
public:
    using Pages = std::map<std::string, std::function<StatusAnswer()>, std::less<>>; //!< Page generators by path

    StatusServer(asio::io_context& context, const adapters::settings::Endpoint& listen, Pages pages);

    [[nodiscard]] std::uint16_t port() const; //!< Port that the server listens on

private:
    void accept();

    asio::ip::tcp::acceptor m_acceptor; //!< Listening socket
    Pages                   m_pages;    //!< Page generators by path
};

} // namespace sailpath::gateway::priv
