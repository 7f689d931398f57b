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
/// \brief What is answered to a question for one path
////////////////////////////////////////////////////////////
struct StatusAnswer
{
    unsigned    status{200}; //!< 200 or 503
    std::string body;        //!< Text
};

////////////////////////////////////////////////////////////
/// \brief Answers questions about this node: readiness, metrics
////////////////////////////////////////////////////////////
class StatusServer
{
public:
    using Pages = std::map<std::string, std::function<StatusAnswer()>, std::less<>>; //!< By path

    StatusServer(asio::io_context& context, const adapters::settings::Endpoint& listen, Pages pages);

    [[nodiscard]] std::uint16_t port() const; //!< Where it listens

private:
    void accept();

    asio::ip::tcp::acceptor m_acceptor; //!< Listens
    Pages                   m_pages;    //!< What may be asked for
};

} // namespace sailpath::gateway::priv
