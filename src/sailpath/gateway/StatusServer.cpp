#include "StatusServer.hpp"

#include <sailpath/core/ReceiveBuffer.hpp>
#include <sailpath/http/MessageReader.hpp>

#include <asio/write.hpp>

#include <array>
#include <memory>

namespace sailpath::gateway::priv
{
namespace
{
constexpr std::uint32_t headLimit = 8192; // Bytes; also bounds the body

////////////////////////////////////////////////////////////
/// \brief Connection of one status client; serves its requests one after the other
////////////////////////////////////////////////////////////
class StatusConnection : public std::enable_shared_from_this<StatusConnection>
{
public:
    StatusConnection(asio::ip::tcp::socket socket, const StatusServer::Pages& pages) :
    m_socket(std::move(socket)),
    m_pages(pages),
    m_reader(std::make_unique<http::MessageReader>(http::MessageKind::Request, headLimit, headLimit))
    {
    }

    void read()
    {
        auto self = shared_from_this();
        m_socket.async_read_some(asio::buffer(m_buffer),
                                 [self](const asio::error_code& error, std::size_t bytes)
                                 {
                                     if (!error)
                                         self->received(bytes);
                                 });
    }

private:
    void buildAnswer(const std::string& target)
    {
        const auto page = m_pages.find(target);
        if (page == m_pages.end())
        {
            m_response = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
            return;
        }
        const StatusAnswer answer = page->second();
        m_response = answer.status == 200 ? "HTTP/1.1 200 OK\r\n" : "HTTP/1.1 503 Service Unavailable\r\n";
        m_response +=
            "Content-Type: text/plain; version=0.0.4\r\nContent-Length: " + std::to_string(answer.body.size()) +
            "\r\n\r\n" + answer.body;
    }

    void received(std::size_t bytes)
    {
        m_unread.append({m_buffer.data(), bytes});
        handleBytes();
    }

    void handleBytes()
    {
        m_reader->read(m_unread);
        const http::ReadState state = m_reader->state();
        if (state == http::ReadState::Head || state == http::ReadState::Body)
            return read();
        if (state != http::ReadState::Done)
            return;
        m_keepAlive = m_reader->head().keepAlive;
        buildAnswer(m_reader->head().target);
        m_reader = std::make_unique<http::MessageReader>(http::MessageKind::Request, headLimit, headLimit);
        auto self = shared_from_this();
        asio::async_write(m_socket, asio::buffer(m_response),
                          [self](const asio::error_code& error, std::size_t)
                          {
                              if (error || !self->m_keepAlive)
                                  return;
                              // Requests that came together are answered before more is read.
                              if (self->m_unread.empty())
                                  self->read();
                              else
                                  self->handleBytes();
                          });
    }

    asio::ip::tcp::socket                m_socket;           //!< Connection to the client
    const StatusServer::Pages&           m_pages;            //!< Pages by path; owned by the server
    std::unique_ptr<http::MessageReader> m_reader;           //!< Parser of the current request
    std::array<char, 1024>               m_buffer{};         //!< Receive buffer
    core::ReceiveBuffer                  m_unread;           //!< Received bytes that are not parsed yet
    std::string                          m_response;         //!< Response being written
    bool                                 m_keepAlive{false}; //!< Keep the connection open after the response
};

} // namespace

////////////////////////////////////////////////////////////
StatusServer::StatusServer(asio::io_context& context, const adapters::settings::Endpoint& listen, Pages pages) :
m_acceptor(context, asio::ip::tcp::endpoint(asio::ip::make_address(listen.address), listen.port), true),
m_pages(std::move(pages))
{
    accept();
}

////////////////////////////////////////////////////////////
void StatusServer::accept()
{
    m_acceptor.async_accept(
        [this](const asio::error_code& error, asio::ip::tcp::socket socket)
        {
            if (error == asio::error::operation_aborted)
                return;
            if (!error)
                std::make_shared<StatusConnection>(std::move(socket), m_pages)->read();
            accept();
        });
}

////////////////////////////////////////////////////////////
std::uint16_t StatusServer::port() const
{
    return m_acceptor.local_endpoint().port();
}

} // namespace sailpath::gateway::priv
