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

constexpr std::size_t      reactorThreads = 3; // Threads left to run the reactor while others serve requests
constexpr std::size_t      readBufferBytes = 16UL * 1024;
constexpr core::Duration   checkInterval = std::chrono::milliseconds{10};
constexpr core::Duration   lingerIdleTimeout = std::chrono::milliseconds{200};
constexpr core::Duration   maxLingerTime = std::chrono::seconds{1};
constexpr std::size_t      maxLingerBytes = 1024UL * 1024;
constexpr std::string_view headEnd = "\r\n\r\n";

////////////////////////////////////////////////////////////
/// \brief Build the complete answer that refuses a request before it reaches the handler
////////////////////////////////////////////////////////////
std::string makeRefusal(int status, std::string_view message)
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
    Impl(IngressSettings limits, RequestHandler& requestHandler);
    ~Impl();

    void               addThread();
    void               accept();
    void               open(asio::ip::tcp::socket socket);
    void               awaitBytes(const ConnectionPtr& connection);
    void               readBytes(const ConnectionPtr& connection);
    void               serveCompleteRequests(const ConnectionPtr& connection);
    void               refuseAndClose(const ConnectionPtr& connection, int status, std::string_view message);
    [[nodiscard]] bool acquireWorkerSlot();
    [[nodiscard]] bool serve(const ConnectionPtr& connection, std::size_t headLength);
    [[nodiscard]] bool serveParsed(const ConnectionPtr& connection, const RequestHead& request);
    void               linger(const ConnectionPtr& connection) const;
    void               close(const ConnectionPtr& connection);
    void               scheduleCheck();
    void               checkConnections();
    void               checkConnection(Connection& connection, Clock::time_point now) const;

    IngressSettings                   settings; //!< Listening address and limits
    RequestHandler&                   handler;  //!< Serves the requests
    asio::io_context                  context;  //!< Event loop of the reactor; run by all threads
    asio::ip::tcp::acceptor           acceptor{asio::make_strand(context)}; //!< Accepts; handlers run one at a time
    std::uint16_t                     port{0};                              //!< Port the acceptor listens on
    asio::steady_timer                timer{context};                       //!< Schedules the checks of connections
    std::atomic<bool>                 keepAliveDisabled{false};   //!< Whether each answer closes its connection
    std::atomic<bool>                 draining{false};            //!< Whether idle connections are closed
    mutable std::mutex                mutex;                      //!< Guards the members below
    IngressCounters                   counts;                     //!< Counters reported by counters(), without `open`
    std::unordered_set<ConnectionPtr> connections;                //!< Open connections
    std::vector<std::unique_ptr<priv::CallerServer>> idleParsers; //!< Parsers available for reuse
    std::vector<std::thread> threads;         //!< Threads that run the context; more are added as needed
    bool                     stopping{false}; //!< Whether destruction has begun, so that no thread is added
};

////////////////////////////////////////////////////////////
Ingress::Impl::Impl(IngressSettings limits, RequestHandler& requestHandler) :
settings(std::move(limits)),
handler(requestHandler)
{
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(settings.listen.address), settings.listen.port);
    acceptor.open(endpoint.protocol());
    acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
    acceptor.bind(endpoint);
    acceptor.listen(1024);
    port = acceptor.local_endpoint().port();
    accept();
    scheduleCheck();
    for (std::size_t i = 0; i < reactorThreads; ++i)
        addThread();
}

////////////////////////////////////////////////////////////
Ingress::Impl::~Impl()
{
    {
        const std::lock_guard<std::mutex> lock(mutex);
        stopping = true;
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
        refuseAndClose(connection, 503, "too many connections");
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
    std::array<char, readBufferBytes> bytes{};
    const net::IoResult               result = connection->io.read(bytes, core::Duration{0});
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
        connection->enterState(ConnectionState::Head);
    serveCompleteRequests(connection);
}

////////////////////////////////////////////////////////////
void Ingress::Impl::serveCompleteRequests(const ConnectionPtr& connection)
{
    // Pipelined requests are served one after the other.
    while (true)
    {
        const auto end = connection->buffered.find(headEnd);
        const bool complete = end != std::string::npos && end + headEnd.size() <= settings.maxHeadBytes;
        if (!complete && connection->buffered.size() > settings.maxHeadBytes)
        {
            refuseAndClose(connection, 431, "request head too large");
            return;
        }
        if (!complete)
        {
            awaitBytes(connection);
            return;
        }
        // The periodic check may have aborted the connection concurrently.
        ConnectionState expected = ConnectionState::Head;
        if (!connection->state.compare_exchange_strong(expected, ConnectionState::Serving))
        {
            close(connection);
            return;
        }
        if (!acquireWorkerSlot())
        {
            refuseAndClose(connection, 503, "no room for another request");
            return;
        }
        if (!serve(connection, end + headEnd.size()))
        {
            close(connection);
            return;
        }
        connection->enterState(connection->buffered.empty() ? ConnectionState::Idle : ConnectionState::Head);
    }
}

////////////////////////////////////////////////////////////
void Ingress::Impl::refuseAndClose(const ConnectionPtr& connection, int status, std::string_view message)
{
    (void)connection->io.write(makeRefusal(status, message), core::Duration{0});
    close(connection);
}

////////////////////////////////////////////////////////////
bool Ingress::Impl::acquireWorkerSlot()
{
    const std::lock_guard<std::mutex> lock(mutex);
    if (counts.serving >= settings.workers)
    {
        ++counts.refused;
        return false;
    }
    ++counts.serving;
    // A thread that serves a request does not run the reactor meanwhile. Further threads
    // start only when needed, because few threads with warm caches answer sooner.
    if (!stopping && counts.serving + reactorThreads > threads.size())
        addThread();
    return true;
}

////////////////////////////////////////////////////////////
bool Ingress::Impl::serve(const ConnectionPtr& connection, std::size_t headLength)
{
    connection->beginRequest();
    const auto        head = parseRequestHead(std::string_view(connection->buffered).substr(0, headLength));
    bool              keep = false;
    const auto* const error = std::get_if<HeadError>(&head);
    if (error)
    {
        (void)connection->io.write(makeRefusal(error->status, error->message), settings.transferIdleTimeout);
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

    AnswerWriter       answer(connection->io, request.http10, request.keepAlive && !keepAliveDisabled,
                              settings.transferIdleTimeout);
    priv::CallerStream stream(connection->io, connection->buffered, settings.transferIdleTimeout);
    parser->serveOne(stream, request, connection->address, answer, *connection->cancellation, connection->bodyRead);
    if (!answer.begun())
        (void)connection->io.write(makeRefusal(400, "malformed request"), settings.transferIdleTimeout);
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
    // Closing a socket with unread bytes makes the system reset the connection and drop the answer in transit,
    // so further bytes from the caller are read and discarded for a limited time.
    asio::error_code ignored;
    connection->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    std::array<char, readBufferBytes> bytes{};
    std::size_t                       read = 0;
    const auto                        end = Clock::now() + maxLingerTime;
    while (read < maxLingerBytes && Clock::now() < end)
    {
        const net::IoResult result = connection->io.read(bytes, lingerIdleTimeout);
        if (result.status != net::IoStatus::Done)
            return;
        read += result.bytes;
    }
}

////////////////////////////////////////////////////////////
void Ingress::Impl::close(const ConnectionPtr& connection)
{
    // The periodic check uses descriptors of listed connections only and holds the same lock, so the descriptor
    // cannot be closed during a check.
    const std::lock_guard<std::mutex> lock(mutex);
    connections.erase(connection);
    asio::error_code ignored;
    connection->socket.close(ignored);
}

////////////////////////////////////////////////////////////
void Ingress::Impl::scheduleCheck()
{
    timer.expires_after(checkInterval);
    timer.async_wait(
        [this](const asio::error_code& error)
        {
            if (error)
                return;
            checkConnections();
            scheduleCheck();
        });
}

////////////////////////////////////////////////////////////
void Ingress::Impl::checkConnections()
{
    const auto                        now = Clock::now();
    const std::lock_guard<std::mutex> lock(mutex);
    for (const ConnectionPtr& connection : connections)
        checkConnection(*connection, now);
}

////////////////////////////////////////////////////////////
void Ingress::Impl::checkConnection(Connection& connection, Clock::time_point now) const
{
    const auto age = now - connection.since.load();
    switch (connection.state)
    {
    case ConnectionState::Serving:
        if (connection.bodyRead && age > checkInterval && connection.io.isDisconnected())
            connection.cancellation->cancel();
        break;
    case ConnectionState::Head:
        if (age > settings.headTimeout && connection.abort(ConnectionState::Head))
        {
            (void)connection.io.write(makeRefusal(408, "the request's head took too long"), core::Duration{0});
            connection.io.shutdown();
        }
        break;
    case ConnectionState::Idle:
        if ((age > settings.idleTimeout || (draining && connection.io.isIdle())) &&
            connection.abort(ConnectionState::Idle))
            connection.io.shutdown();
        break;
    case ConnectionState::Aborted:
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
    m_impl->keepAliveDisabled = true;
}

////////////////////////////////////////////////////////////
bool Ingress::drain(core::Duration timeout)
{
    m_impl->keepAliveDisabled = true;
    m_impl->draining = true;
    asio::post(m_impl->acceptor.get_executor(),
               [this]
               {
                   asio::error_code ignored;
                   m_impl->acceptor.close(ignored);
               });
    const auto deadline = Clock::now() + timeout;
    while (counters().open > 0)
    {
        if (Clock::now() > deadline)
            return false;
        std::this_thread::sleep_for(checkInterval);
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
