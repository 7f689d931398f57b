#include <sailpath/adapters/http/Ingress.hpp>

#include "CallerServer.hpp"
#include "CallerStream.hpp"
#include "Connection.hpp"

#include <asio.hpp>

#include <array>
#include <atomic>
#include <mutex>
#include <thread>
#include <unordered_set>
#include <vector>

namespace sailpath::adapters::http
{
namespace
{
using priv::Connection;
using priv::ConnectionState;
using Clock = Connection::Clock;
using ConnectionPtr = std::shared_ptr<Connection>;

constexpr std::size_t      spareThreads = 3; // For the reactor while others serve
constexpr std::size_t      readAhead = 16UL * 1024;
constexpr core::Duration   sweepEvery = std::chrono::milliseconds{10};
constexpr core::Duration   lingerTime = std::chrono::milliseconds{200};
constexpr core::Duration   longestLinger = std::chrono::seconds{1};
constexpr std::size_t      lingerBytes = 1024UL * 1024;
constexpr std::string_view headEnd = "\r\n\r\n";

////////////////////////////////////////////////////////////
/// \brief A whole refusal for requests that no handler sees
////////////////////////////////////////////////////////////
std::string plainRefusal(int status, std::string_view message)
{
    const std::string text = std::string(message) + "\n";
    std::string       answer = "HTTP/1.1 " + std::to_string(status) + " Refused\r\n";
    if (status == 503)
        answer += "Retry-After: 1\r\nSailpath-Retry-After-Ms: 500\r\n";
    answer += "Sailpath-Ran: not-run\r\nContent-Type: text/plain\r\nConnection: close\r\nContent-Length: ";
    return answer + std::to_string(text.size()) + "\r\n\r\n" + text;
}

} // namespace

////////////////////////////////////////////////////////////
struct Ingress::Impl
{
    Impl(IngressSettings limits, RequestHandler& handler);
    ~Impl();

    void               addThread();
    void               accept();
    void               open(asio::ip::tcp::socket socket);
    void               awaitBytes(const ConnectionPtr& connection);
    void               readBytes(const ConnectionPtr& connection);
    void               serveIfComplete(const ConnectionPtr& connection);
    void               refuseEarly(const ConnectionPtr& connection, int status, std::string_view message);
    [[nodiscard]] bool takePlace();
    [[nodiscard]] bool serve(const ConnectionPtr& connection, std::size_t headLength);
    [[nodiscard]] bool serveParsed(const ConnectionPtr& connection, const RequestHead& request);
    void               linger(const ConnectionPtr& connection) const;
    void               close(const ConnectionPtr& connection);
    void               scheduleSweep();
    void               sweep();
    void               sweepOne(Connection& connection, Clock::time_point now) const;

    IngressSettings                   settings;                             //!< Limits
    RequestHandler&                   handler;                              //!< Serves the requests
    asio::io_context                  context;                              //!< The reactor's; run by all threads
    asio::ip::tcp::acceptor           acceptor{asio::make_strand(context)}; //!< Listens; its steps run one at a time
    std::uint16_t                     port{0};                              //!< Port that is listened on
    asio::steady_timer                timer{context};                       //!< For sweeps
    std::atomic<bool>                 leaving{false};                       //!< Answers close their connections
    std::atomic<bool>                 closing{false};                       //!< Idle connections are closed
    mutable std::mutex                mutex;                                //!< Guards what follows
    IngressCounters                   counts;                               //!< Counts so far
    std::unordered_set<ConnectionPtr> connections;                          //!< All that are open
    std::vector<std::unique_ptr<priv::CallerServer>> idleParsers;           //!< Parsers that no request uses
    std::vector<std::thread>                         threads;               //!< Run the context, grown as needed
    bool                                             ending{false};         //!< No thread is added from here on
};

////////////////////////////////////////////////////////////
Ingress::Impl::Impl(IngressSettings limits, RequestHandler& served) :
settings(std::move(limits)),
handler(served)
{
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(settings.listen.address), settings.listen.port);
    acceptor.open(endpoint.protocol());
    acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
    acceptor.bind(endpoint);
    acceptor.listen(1024);
    port = acceptor.local_endpoint().port();
    accept();
    scheduleSweep();
    for (std::size_t i = 0; i < spareThreads; ++i)
        addThread();
}

////////////////////////////////////////////////////////////
Ingress::Impl::~Impl()
{
    {
        const std::lock_guard<std::mutex> lock(mutex);
        ending = true;
    }
    context.stop();
    for (std::thread& thread : threads)
        thread.join();
}

////////////////////////////////////////////////////////////
void Ingress::Impl::addThread()
{
    threads.emplace_back([this] { context.run(); });
}

////////////////////////////////////////////////////////////
void Ingress::Impl::accept()
{
    acceptor.async_accept(context,
                          [this](const asio::error_code& error, asio::ip::tcp::socket socket)
                          {
                              if (error == asio::error::operation_aborted || !acceptor.is_open())
                                  return;
                              if (!error)
                                  open(std::move(socket));
                              accept();
                          });
}

////////////////////////////////////////////////////////////
void Ingress::Impl::open(asio::ip::tcp::socket socket)
{
    asio::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.non_blocking(true, ignored);
    const auto remote = socket.remote_endpoint(ignored);
    const auto connection = std::make_shared<Connection>(std::move(socket));
    connection->address = remote.address().to_string();

    bool full = false;
    {
        const std::lock_guard<std::mutex> lock(mutex);
        full = connections.size() >= settings.maxConnections;
        connections.insert(connection);
        ++counts.accepted;
        counts.refused += full ? 1 : 0;
    }
    if (full)
        refuseEarly(connection, 503, "too many connections");
    else
        awaitBytes(connection);
}

////////////////////////////////////////////////////////////
void Ingress::Impl::awaitBytes(const ConnectionPtr& connection)
{
    connection->socket.async_wait(asio::ip::tcp::socket::wait_read,
                                  [this, connection](const asio::error_code& error)
                                  {
                                      if (error)
                                          close(connection);
                                      else
                                          readBytes(connection);
                                  });
}

////////////////////////////////////////////////////////////
void Ingress::Impl::readBytes(const ConnectionPtr& connection)
{
    std::array<char, readAhead> bytes{};
    const net::IoResult         result = connection->io.read(bytes, core::Duration{0});
    if (result.status == net::IoStatus::Timeout)
    {
        awaitBytes(connection);
        return;
    }
    if (result.status != net::IoStatus::Done)
    {
        close(connection);
        return;
    }
    connection->buffered.append(bytes.data(), result.bytes);
    if (connection->state == ConnectionState::Idle)
        connection->enter(ConnectionState::Head);
    serveIfComplete(connection);
}

////////////////////////////////////////////////////////////
void Ingress::Impl::serveIfComplete(const ConnectionPtr& connection)
{
    // Requests that the caller sent ahead are served one after the other.
    while (true)
    {
        const auto end = connection->buffered.find(headEnd);
        const bool complete = end != std::string::npos && end + headEnd.size() <= settings.maxHeadBytes;
        if (!complete && connection->buffered.size() > settings.maxHeadBytes)
        {
            refuseEarly(connection, 431, "request head too large");
            return;
        }
        if (!complete)
        {
            awaitBytes(connection);
            return;
        }
        // The sweep may have given the connection up at this very moment.
        ConnectionState expected = ConnectionState::Head;
        if (!connection->state.compare_exchange_strong(expected, ConnectionState::Serving))
        {
            close(connection);
            return;
        }
        if (!takePlace())
        {
            refuseEarly(connection, 503, "no room for another request");
            return;
        }
        if (!serve(connection, end + headEnd.size()))
        {
            close(connection);
            return;
        }
        connection->enter(connection->buffered.empty() ? ConnectionState::Idle : ConnectionState::Head);
    }
}

////////////////////////////////////////////////////////////
void Ingress::Impl::refuseEarly(const ConnectionPtr& connection, int status, std::string_view message)
{
    (void)connection->io.write(plainRefusal(status, message), core::Duration{0});
    close(connection);
}

////////////////////////////////////////////////////////////
bool Ingress::Impl::takePlace()
{
    const std::lock_guard<std::mutex> lock(mutex);
    if (counts.serving >= settings.workers)
    {
        ++counts.refused;
        return false;
    }
    ++counts.serving;
    // The thread that serves is lost to the reactor until it is done. Others
    // are started only when needed: few threads with warm caches answer sooner.
    if (!ending && counts.serving + spareThreads > threads.size())
        addThread();
    return true;
}

////////////////////////////////////////////////////////////
bool Ingress::Impl::serve(const ConnectionPtr& connection, std::size_t headLength)
{
    connection->begin();
    const auto        head = parseRequestHead(std::string_view(connection->buffered).substr(0, headLength));
    bool              keep = false;
    const auto* const error = std::get_if<HeadError>(&head);
    if (error)
    {
        (void)connection->io.write(plainRefusal(error->status, error->message), settings.transferIdleTimeout);
        linger(connection);
    }
    else
    {
        keep = serveParsed(connection, std::get<RequestHead>(head));
    }
    const std::lock_guard<std::mutex> lock(mutex);
    --counts.serving;
    counts.malformed += error ? 1 : 0;
    counts.callerDisconnects += connection->cancellation->cancelled() ? 1 : 0;
    return keep;
}

////////////////////////////////////////////////////////////
bool Ingress::Impl::serveParsed(const ConnectionPtr& connection, const RequestHead& request)
{
    std::unique_ptr<priv::CallerServer> parser;
    {
        const std::lock_guard<std::mutex> lock(mutex);
        if (!idleParsers.empty())
        {
            parser = std::move(idleParsers.back());
            idleParsers.pop_back();
        }
    }
    if (!parser)
        parser = std::make_unique<priv::CallerServer>(handler, settings.maxBodyBytes);

    AnswerWriter answer(connection->io, request.http10, request.keepAlive && !leaving, settings.transferIdleTimeout);
    priv::CallerStream stream(connection->io, connection->buffered, settings.transferIdleTimeout);
    parser->serveOne(stream, request, connection->address, answer, *connection->cancellation, connection->bodyRead);
    if (!answer.begun())
        (void)connection->io.write(plainRefusal(400, "malformed request"), settings.transferIdleTimeout);
    const bool keep =
        answer.begun() && answer.mayKeepAlive() && connection->bodyRead && !connection->cancellation->cancelled();
    if (!keep && !connection->bodyRead)
        linger(connection);

    const std::lock_guard<std::mutex> lock(mutex);
    idleParsers.push_back(std::move(parser));
    return keep;
}

////////////////////////////////////////////////////////////
void Ingress::Impl::linger(const ConnectionPtr& connection) const
{
    // Closing with bytes unread would make the system drop the answer on its
    // way, so what the caller still sends is read for a moment.
    asio::error_code ignored;
    connection->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    std::array<char, readAhead> bytes{};
    std::size_t                 read = 0;
    const auto                  end = Clock::now() + longestLinger;
    while (read < lingerBytes && Clock::now() < end)
    {
        const net::IoResult result = connection->io.read(bytes, lingerTime);
        if (result.status != net::IoStatus::Done)
            return;
        read += result.bytes;
    }
}

////////////////////////////////////////////////////////////
void Ingress::Impl::close(const ConnectionPtr& connection)
{
    // The sweep uses descriptors of listed connections only, under the same lock.
    const std::lock_guard<std::mutex> lock(mutex);
    connections.erase(connection);
    asio::error_code ignored;
    connection->socket.close(ignored);
}

////////////////////////////////////////////////////////////
void Ingress::Impl::scheduleSweep()
{
    timer.expires_after(sweepEvery);
    timer.async_wait(
        [this](const asio::error_code& error)
        {
            if (error)
                return;
            sweep();
            scheduleSweep();
        });
}

////////////////////////////////////////////////////////////
void Ingress::Impl::sweep()
{
    const auto                        now = Clock::now();
    const std::lock_guard<std::mutex> lock(mutex);
    for (const ConnectionPtr& connection : connections)
        sweepOne(*connection, now);
}

////////////////////////////////////////////////////////////
void Ingress::Impl::sweepOne(Connection& connection, Clock::time_point now) const
{
    const auto age = now - connection.since.load();
    switch (connection.state)
    {
    case ConnectionState::Serving:
        if (connection.bodyRead && age > sweepEvery && connection.io.isDisconnected())
            connection.cancellation->cancel();
        break;
    case ConnectionState::Head:
        if (age > settings.headTimeout && connection.giveUp(ConnectionState::Head))
        {
            (void)connection.io.write(plainRefusal(408, "the request's head took too long"), core::Duration{0});
            connection.io.shutdown();
        }
        break;
    case ConnectionState::Idle:
        if ((age > settings.idleTimeout || (closing && connection.io.isIdle())) &&
            connection.giveUp(ConnectionState::Idle))
            connection.io.shutdown();
        break;
    case ConnectionState::GivenUp:
        break;
    }
}

////////////////////////////////////////////////////////////
Ingress::Ingress(IngressSettings settings, RequestHandler& handler) :
m_impl(std::make_unique<Impl>(std::move(settings), handler))
{
}

////////////////////////////////////////////////////////////
Ingress::~Ingress() = default;

////////////////////////////////////////////////////////////
std::uint16_t Ingress::port() const
{
    return m_impl->port;
}

////////////////////////////////////////////////////////////
void Ingress::disableKeepAlive()
{
    m_impl->leaving = true;
}

////////////////////////////////////////////////////////////
bool Ingress::drain(core::Duration timeout)
{
    m_impl->leaving = true;
    m_impl->closing = true;
    asio::post(m_impl->acceptor.get_executor(),
               [this]
               {
                   asio::error_code ignored;
                   m_impl->acceptor.close(ignored);
               });
    const auto until = Clock::now() + timeout;
    while (counters().open > 0)
    {
        if (Clock::now() > until)
            return false;
        std::this_thread::sleep_for(sweepEvery);
    }
    return true;
}

////////////////////////////////////////////////////////////
IngressCounters Ingress::counters() const
{
    const std::lock_guard<std::mutex> lock(m_impl->mutex);
    IngressCounters                   counts = m_impl->counts;
    counts.open = m_impl->connections.size();
    return counts;
}

} // namespace sailpath::adapters::http
