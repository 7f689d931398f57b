#include <sailpath/adapters/calls/HttpCaller.hpp>

#include <sailpath/core/Clock.hpp>
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
constexpr std::uint32_t headLimit = 16U * 1024;
constexpr std::uint64_t bodyLimit = std::uint64_t{64} << 20U;
constexpr auto          longestAnswer = std::chrono::seconds{5}; // From its first byte to its last

} // namespace

////////////////////////////////////////////////////////////
struct HttpCaller::Impl : public std::enable_shared_from_this<HttpCaller::Impl>
{
    Impl(asio::io_context& loop, settings::Endpoint where) :
    service(std::move(where)),
    socket(loop),
    timer(loop)
    {
    }

    void start(core::Duration longest)
    {
        ++calls;
        const std::uint64_t number = calls;
        reader = std::make_unique<http::MessageReader>(http::MessageKind::Answer, headLimit, bodyLimit);
        silence = longest;
        startedAt = core::now();
        awaitBytes(number);
        if (connected)
            return write(number);
        asio::error_code error;
        socket = asio::ip::tcp::socket(socket.get_executor());
        const auto ip = asio::ip::make_address(service.address, error);
        socket.async_connect({ip, service.port},
                             [self = shared_from_this(), number](const asio::error_code& failed)
                             {
                                 if (self->calls != number || !self->answered)
                                     return;
                                 if (failed)
                                     return self->fail();
                                 asio::error_code ignored;
                                 self->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
                                 self->connected = true;
                                 self->write(number);
                             });
    }

    // A long answer takes its time on a narrow link; what counts is that it goes on.
    void awaitBytes(std::uint64_t number)
    {
        timer.expires_after(silence);
        timer.async_wait(
            [self = shared_from_this(), number](const asio::error_code& error)
            {
                if (!error && self->calls == number)
                    self->fail();
            });
    }

    void write(std::uint64_t number)
    {
        asio::async_write(socket, asio::buffer(request),
                          [self = shared_from_this(), number](const asio::error_code& error, std::size_t)
                          {
                              if (self->calls == number && self->answered && error)
                                  self->fail();
                          });
        read(number);
    }

    void read(std::uint64_t number)
    {
        socket.async_read_some(asio::buffer(buffer),
                               [self = shared_from_this(), number](const asio::error_code& error, std::size_t bytes)
                               {
                                   if (self->calls != number || !self->answered)
                                       return;
                                   if (error)
                                       return self->fail();
                                   self->received(bytes, number);
                               });
    }

    void received(std::size_t bytes, std::uint64_t number)
    {
        unread.append(buffer.data(), bytes);
        unread.erase(0, reader->read(unread));
        const http::ReadState state = reader->state();
        const bool            unfinished = state == http::ReadState::Head || state == http::ReadState::Body;
        if (unfinished && core::now() - startedAt < silence + longestAnswer)
        {
            awaitBytes(number);
            return read(number);
        }
        if (state != http::ReadState::Done)
            return fail();
        const bool keep = reader->head().keepAlive && unread.empty();
        end({reader->head().status, reader->takeBody()}, keep);
    }

    void fail()
    {
        end({}, false);
    }

    void end(CallAnswer answer, bool keep)
    {
        timer.cancel();
        if (!keep)
            disconnect();
        const Answered told = std::move(answered);
        answered = nullptr;
        if (told)
            told(std::move(answer));
    }

    void disconnect()
    {
        asio::error_code ignored;
        socket.close(ignored);
        connected = false;
        unread.clear();
    }

    settings::Endpoint                   service;          //!< Where
    asio::ip::tcp::socket                socket;           //!< Connection
    asio::steady_timer                   timer;            //!< Of the call
    std::unique_ptr<http::MessageReader> reader;           //!< Of the answer
    std::string                          request;          //!< Bytes
    std::string                          unread;           //!< Bytes not taken yet
    std::array<char, 16384>              buffer{};         //!< Bytes as they come
    Answered                             answered;         //!< Of the call under way
    std::uint64_t                        calls{0};         //!< Since the start
    bool                                 connected{false}; //!< The connection is up
    core::Duration                       silence{};        //!< Longest time without a byte
    core::Timestamp                      startedAt{};      //!< Of the call under way
};

////////////////////////////////////////////////////////////
HttpCaller::HttpCaller(asio::io_context& context, settings::Endpoint service) :
m_impl(std::make_shared<Impl>(context, std::move(service)))
{
}

////////////////////////////////////////////////////////////
HttpCaller::~HttpCaller()
{
    m_impl->answered = nullptr;
    m_impl->timer.cancel();
    m_impl->disconnect();
}

////////////////////////////////////////////////////////////
void HttpCaller::get(std::string_view target, core::Duration longest, Answered answered)
{
    m_impl->request.clear();
    m_impl->request.append("GET ").append(target).append(" HTTP/1.1\r\nHost: ").append(m_impl->service.text());
    m_impl->request.append("\r\n\r\n");
    m_impl->answered = std::move(answered);
    m_impl->start(longest);
}

////////////////////////////////////////////////////////////
void HttpCaller::post(std::string_view target, std::string_view body, core::Duration longest, Answered answered)
{
    m_impl->request.clear();
    m_impl->request.append("POST ").append(target).append(" HTTP/1.1\r\nHost: ").append(m_impl->service.text());
    m_impl->request.append("\r\nContent-Type: application/json\r\nContent-Length: ");
    m_impl->request.append(std::to_string(body.size())).append("\r\n\r\n").append(body);
    m_impl->answered = std::move(answered);
    m_impl->start(longest);
}

////////////////////////////////////////////////////////////
void HttpCaller::giveUp()
{
    m_impl->answered = nullptr;
    m_impl->timer.cancel();
    m_impl->disconnect();
}

////////////////////////////////////////////////////////////
std::uint64_t HttpCaller::calls() const
{
    return m_impl->calls;
}

} // namespace sailpath::adapters::calls
