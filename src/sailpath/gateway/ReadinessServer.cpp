#include "ReadinessServer.hpp"

#include <sailpath/http/MessageReader.hpp>

#include <asio/write.hpp>

#include <array>
#include <memory>

namespace sailpath::gateway::priv
{
namespace
{
constexpr std::uint32_t headLimit = 8192;

////////////////////////////////////////////////////////////
/// \brief One asker's connection
////////////////////////////////////////////////////////////
class Asker : public std::enable_shared_from_this<Asker>
{
public:
    Asker(asio::ip::tcp::socket socket, const std::string& path, const std::function<bool()>& ready) :
    m_socket(std::move(socket)),
    m_path(path),
    m_ready(ready),
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
    void received(std::size_t bytes)
    {
        m_unread.append(m_buffer.data(), bytes);
        m_unread.erase(0, m_reader->read(m_unread));
        const http::ReadState state = m_reader->state();
        if (state == http::ReadState::Head || state == http::ReadState::Body)
            return read();
        if (state != http::ReadState::Done)
            return;
        const bool known = m_reader->head().target == m_path;
        m_keep = m_reader->head().keepAlive;
        m_out = !known      ? "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
                : m_ready() ? "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
                            : "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
        m_reader = std::make_unique<http::MessageReader>(http::MessageKind::Request, headLimit, headLimit);
        auto self = shared_from_this();
        asio::async_write(m_socket, asio::buffer(m_out),
                          [self](const asio::error_code& error, std::size_t)
                          {
                              if (!error && self->m_keep)
                                  self->read();
                          });
    }

    asio::ip::tcp::socket                m_socket;   //!< Connection
    const std::string&                   m_path;     //!< What is asked for
    const std::function<bool()>&         m_ready;    //!< The answer
    std::unique_ptr<http::MessageReader> m_reader;   //!< Of the question
    std::array<char, 1024>               m_buffer{}; //!< Bytes as they come
    std::string                          m_unread;   //!< Bytes not taken yet
    std::string                          m_out;      //!< Answer
    bool                                 m_keep{false}; //!< Another question may follow
};

} // namespace

////////////////////////////////////////////////////////////
ReadinessServer::ReadinessServer(asio::io_context& context, const adapters::settings::Endpoint& listen,
                                 std::string path, std::function<bool()> ready) :
m_acceptor(context, asio::ip::tcp::endpoint(asio::ip::make_address(listen.address), listen.port), true),
m_path(std::move(path)),
m_ready(std::move(ready))
{
    accept();
}

////////////////////////////////////////////////////////////
void ReadinessServer::accept()
{
    m_acceptor.async_accept(
        [this](const asio::error_code& error, asio::ip::tcp::socket socket)
        {
            if (error == asio::error::operation_aborted)
                return;
            if (!error)
                std::make_shared<Asker>(std::move(socket), m_path, m_ready)->read();
            accept();
        });
}

////////////////////////////////////////////////////////////
std::uint16_t ReadinessServer::port() const
{
    return m_acceptor.local_endpoint().port();
}

} // namespace sailpath::gateway::priv
