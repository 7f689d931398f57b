#include <sailpath/adapters/calls/HttpCaller.hpp>

#include <sailpath/core/Clock.hpp>
#include <sailpath/core/ReceiveBuffer.hpp>
#include <sailpath/http/MessageReader.hpp>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <array>

namespace sailpath::adapters::calls
{
namespace
{
constexpr std::uint32_t maxHeadBytes = 16U * 1024;
constexpr std::uint64_t maxBodyBytes = std::uint64_t{64} << 20U;
constexpr auto          maxTransferTime = std::chrono::seconds{5}; // Longest call beyond the idle timeout

} // namespace

////////////////////////////////////////////////////////////
struct HttpCaller::Impl : public std::enable_shared_from_this<HttpCaller::Impl>
{
    Impl(asio::io_context& loop, settings::Endpoint endpoint) :
    service(std::move(endpoint)),
    socket(loop),
    timer(loop)
    {
    }

    void start(core::Duration timeout)
    {
        ++calls;
        const std::uint64_t callNumber = calls;
        startReader();
        idleTimeout = timeout;
        startedAt = core::now();
        startIdleTimer(callNumber);
        if (connected)
            return write(callNumber);
        asio::error_code error;
        socket = asio::ip::tcp::socket(socket.get_executor());
        const auto ip = asio::ip::make_address(service.address, error);
        socket.async_connect({ip, service.port},
                             [self = shared_from_this(), callNumber](const asio::error_code& failed)
                             {
                                 if (self->calls != callNumber || !self->onResponse)
                                     return;
                                 if (failed)
                                     return self->fail();
                                 asio::error_code ignored;
                                 self->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
                                 self->connected = true;
                                 self->write(callNumber);
                             });
    }

    void startReader()
    {
        reader = std::make_unique<http::MessageReader>(http::MessageKind::Answer, maxHeadBytes, maxBodyBytes);
    }

    // The timer restarts with every received byte: a long response over a slow link may exceed the idle timeout as a
    // whole, as long as its bytes keep arriving.
    void startIdleTimer(std::uint64_t callNumber)
    {
        timer.expires_after(idleTimeout);
        timer.async_wait(
            [self = shared_from_this(), callNumber](const asio::error_code& error)
            {
                if (!error && self->calls == callNumber)
                    self->fail();
            });
    }

    void write(std::uint64_t callNumber)
    {
        asio::async_write(socket, asio::buffer(request),
                          [self = shared_from_this(), callNumber](const asio::error_code& error, std::size_t)
                          {
                              if (self->calls == callNumber && self->onResponse && error)
                                  self->fail();
                          });
        read(callNumber);
    }

    void read(std::uint64_t callNumber)
    {
        socket.async_read_some(asio::buffer(buffer),
                               [self = shared_from_this(), callNumber](const asio::error_code& error, std::size_t bytes)
                               {
                                   if (self->calls != callNumber || !self->onResponse)
                                       return;
                                   if (error)
                                       return self->fail();
                                   self->handleBytes(bytes, callNumber);
                               });
    }

    void handleBytes(std::size_t bytes, std::uint64_t callNumber)
    {
        unread.append({buffer.data(), bytes});
        reader->read(unread);
        // Interim answers precede the answer to the call.
        while (reader->state() == http::ReadState::Done && !http::isFinalStatus(reader->head().status))
        {
            startReader();
            reader->read(unread);
        }
        const http::ReadState state = reader->state();
        const bool            unfinished = state == http::ReadState::Head || state == http::ReadState::Body;
        if (unfinished && core::now() - startedAt < idleTimeout + maxTransferTime)
        {
            startIdleTimer(callNumber);
            return read(callNumber);
        }
        if (state != http::ReadState::Done)
            return fail();
        const bool keepAlive = reader->head().keepAlive && unread.empty();
        finish({reader->head().status, reader->takeBody()}, keepAlive);
    }

    void fail()
    {
        finish({}, false);
    }

    void finish(CallAnswer answer, bool keepAlive)
    {
        timer.cancel();
        if (!keepAlive)
            disconnect();
        const ResponseCallback callback = std::move(onResponse);
        onResponse = nullptr;
        if (callback)
            callback(std::move(answer));
    }

    void disconnect()
    {
        asio::error_code ignored;
        socket.close(ignored);
        connected = false;
        unread.clear();
    }

    settings::Endpoint                   service;    //!< Address and port of the service
    asio::ip::tcp::socket                socket;     //!< Connection to the service
    asio::steady_timer                   timer;      //!< Expires after idleTimeout without a received byte
    std::unique_ptr<http::MessageReader> reader;     //!< Parser of the response
    std::string                          request;    //!< Serialized request
    core::ReceiveBuffer                  unread;     //!< Received bytes that the parser has not consumed yet
    std::array<char, 16384>              buffer{};   //!< Receive buffer
    ResponseCallback                     onResponse; //!< Callback of the call in progress; empty between calls
    std::uint64_t   calls{0};         //!< Calls started since construction; also numbers the call in progress
    bool            connected{false}; //!< Whether the connection is established
    core::Duration  idleTimeout{};    //!< Longest wait without a received byte
    core::Timestamp startedAt{};      //!< Start of the call in progress
};

////////////////////////////////////////////////////////////
HttpCaller::HttpCaller(asio::io_context& context, settings::Endpoint service) :
m_impl(std::make_shared<Impl>(context, std::move(service)))
{
}

////////////////////////////////////////////////////////////
HttpCaller::~HttpCaller()
{
    m_impl->onResponse = nullptr;
    m_impl->timer.cancel();
    m_impl->disconnect();
}

////////////////////////////////////////////////////////////
void HttpCaller::get(std::string_view target, core::Duration idleTimeout, ResponseCallback onResponse)
{
    m_impl->request.clear();
    m_impl->request.append("GET ").append(target).append(" HTTP/1.1\r\nHost: ").append(m_impl->service.text());
    m_impl->request.append("\r\n\r\n");
    m_impl->onResponse = std::move(onResponse);
    m_impl->start(idleTimeout);
}

////////////////////////////////////////////////////////////
void HttpCaller::post(std::string_view target, std::string_view body, core::Duration idleTimeout,
                      ResponseCallback onResponse)
{
    m_impl->request.clear();
    m_impl->request.append("POST ").append(target).append(" HTTP/1.1\r\nHost: ").append(m_impl->service.text());
    m_impl->request.append("\r\nContent-Type: application/json\r\nContent-Length: ");
    m_impl->request.append(std::to_string(body.size())).append("\r\n\r\n").append(body);
    m_impl->onResponse = std::move(onResponse);
    m_impl->start(idleTimeout);
}

////////////////////////////////////////////////////////////
void HttpCaller::cancel()
{
    m_impl->onResponse = nullptr;
    m_impl->timer.cancel();
    m_impl->disconnect();
}

////////////////////////////////////////////////////////////
std::uint64_t HttpCaller::calls() const
{
    return m_impl->calls;
}

} // namespace sailpath::adapters::calls
