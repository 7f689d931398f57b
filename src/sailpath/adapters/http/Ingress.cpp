#include <sailpath/adapters/http/Ingress.hpp>

#include "CallerServer.hpp"
#include "CallerStream.hpp"
#include "Connection.hpp"
#include "WorkerPool.hpp"

#include <asio.hpp>

#include <algorithm>
#include <array>
#include <mutex>
#include <optional>
#include <thread>
#include <unordered_set>

namespace sailpath::adapters::http
{
namespace
{
using priv::Connection;
using priv::ConnectionState;
using Clock = Connection::Clock;
using ConnectionPtr = std::shared_ptr<Connection>;

constexpr core::Duration   sweepEvery = std::chrono::milliseconds{10};
constexpr core::Duration   lingerTime = std::chrono::milliseconds{200};
constexpr std::size_t      readAhead = 16UL * 1024;
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

    void accept();
    void open(asio::ip::tcp::socket socket);
    void awaitBytes(const ConnectionPtr& connection);
    void readBytes(const ConnectionPtr& connection);
    void dispatchIfComplete(const ConnectionPtr& connection);
    void refuseEarly(const ConnectionPtr& connection, int status, std::string_view message);
    void serve(const ConnectionPtr& connection, std::size_t headLength, std::size_t worker);
    void linger(const ConnectionPtr& connection) const;
    void resume(const ConnectionPtr& connection, bool keep);
    void close(const ConnectionPtr& connection);
    void scheduleSweep();
    void sweep();

    IngressSettings                                            settings;          //!< Limits
    asio::io_context                                           context{1};        //!< The reactor's
    asio::ip::tcp::acceptor                                    acceptor{context}; //!< Listens
    std::uint16_t                                              port{0};           //!< Port that is listened on
    asio::steady_timer                                         timer{context};    //!< For sweeps
    asio::executor_work_guard<asio::io_context::executor_type> work{
        asio::make_work_guard(context)};                             //!< Keeps it running
    std::vector<std::unique_ptr<priv::CallerServer>> servers;        //!< One for each worker
    std::unordered_set<ConnectionPtr>                connections;    //!< All; touched by the reactor only
    mutable std::mutex                               countersMutex;  //!< Guards the counts
    IngressCounters                                  counts;         //!< Counts so far
    std::atomic<bool>                                leaving{false}; //!< Answers close their connections
    std::atomic<bool>                                closing{false}; //!< Idle connections are closed
    std::optional<priv::WorkerPool>                  workers;        //!< Serve requests
    std::thread                                      reactor;        //!< Runs the context
};

////////////////////////////////////////////////////////////
Ingress::Impl::Impl(IngressSettings limits, RequestHandler& handler) :
settings(std::move(limits))
{
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(settings.listen.address), settings.listen.port);
    acceptor.open(endpoint.protocol());
    acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
    acceptor.bind(endpoint);
    acceptor.listen(1024);
    port = acceptor.local_endpoint().port();

    for (std::size_t i = 0; i < settings.workers; ++i)
        servers.push_back(std::make_unique<priv::CallerServer>(handler, settings.largestBody));
    workers.emplace(settings.workers, settings.backlog);
    accept();
    scheduleSweep();
    reactor = std::thread([this] { context.run(); });
}

////////////////////////////////////////////////////////////
Ingress::Impl::~Impl()
{
    // Workers end first: they may still hand connections back to the reactor.
    workers.reset();
    context.stop();
    reactor.join();
}

////////////////////////////////////////////////////////////
void Ingress::Impl::accept()
{
    acceptor.async_accept(
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

    const bool full = connections.size() >= settings.connections;
    connections.insert(connection);
    {
        const std::lock_guard<std::mutex> lock(countersMutex);
        ++counts.accepted;
        counts.open = connections.size();
        counts.turnedAway += full ? 1 : 0;
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
    {
        connection->state = ConnectionState::Head;
        connection->since = Clock::now();
    }
    dispatchIfComplete(connection);
}

////////////////////////////////////////////////////////////
void Ingress::Impl::dispatchIfComplete(const ConnectionPtr& connection)
{
    const auto end = connection->buffered.find(headEnd);
    if (end == std::string::npos || end + headEnd.size() > settings.longestHead)
    {
        if (connection->buffered.size() > settings.longestHead)
            refuseEarly(connection, 431, "request head too large");
        else
            awaitBytes(connection);
        return;
    }
    connection->state = ConnectionState::Serving;
    connection->since = Clock::now();
    connection->cancellation = std::make_shared<Cancellation>();
    connection->bodyRead = false;
    const bool queued = workers->submit([this, connection, length = end + headEnd.size()](std::size_t worker)
                                        { serve(connection, length, worker); });
    if (!queued)
    {
        {
            const std::lock_guard<std::mutex> lock(countersMutex);
            ++counts.turnedAway;
        }
        refuseEarly(connection, 503, "no room for another request");
    }
}

////////////////////////////////////////////////////////////
void Ingress::Impl::refuseEarly(const ConnectionPtr& connection, int status, std::string_view message)
{
    (void)connection->io.write(plainRefusal(status, message), core::Duration{0});
    close(connection);
}

////////////////////////////////////////////////////////////
void Ingress::Impl::serve(const ConnectionPtr& connection, std::size_t headLength, std::size_t worker)
{
    {
        const std::lock_guard<std::mutex> lock(countersMutex);
        ++counts.serving;
    }
    const auto head = parseRequestHead(std::string_view(connection->buffered).substr(0, headLength));
    bool       keep = false;
    if (const auto* error = std::get_if<HeadError>(&head))
    {
        (void)connection->io.write(plainRefusal(error->status, error->message), settings.transferIdle);
        linger(connection);
        const std::lock_guard<std::mutex> lock(countersMutex);
        ++counts.malformed;
    }
    else
    {
        const auto&        request = std::get<RequestHead>(head);
        AnswerWriter       answer(connection->io, request.http10, request.keepAlive && !leaving, settings.transferIdle);
        priv::CallerStream stream(connection->io, connection->buffered, settings.transferIdle);
        servers[worker]->serveOne(stream, request, connection->address, answer, *connection->cancellation,
                                  connection->bodyRead);
        if (!answer.begun())
            (void)connection->io.write(plainRefusal(400, "malformed request"), settings.transferIdle);
        keep =
            answer.begun() && answer.mayKeepAlive() && connection->bodyRead && !connection->cancellation->cancelled();
        if (!keep && !connection->bodyRead)
            linger(connection);
    }
    {
        const std::lock_guard<std::mutex> lock(countersMutex);
        --counts.serving;
    }
    asio::post(context, [this, connection, keep] { resume(connection, keep); });
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
    while (read < lingerBytes)
    {
        const net::IoResult result = connection->io.read(bytes, lingerTime);
        if (result.status != net::IoStatus::Done)
            return;
        read += result.bytes;
    }
}

////////////////////////////////////////////////////////////
void Ingress::Impl::resume(const ConnectionPtr& connection, bool keep)
{
    if (connection->cancellation && connection->cancellation->cancelled())
    {
        const std::lock_guard<std::mutex> lock(countersMutex);
        ++counts.hangUps;
    }
    if (!keep)
    {
        close(connection);
        return;
    }
    connection->since = Clock::now();
    connection->state = connection->buffered.empty() ? ConnectionState::Idle : ConnectionState::Head;
    if (connection->buffered.empty())
        awaitBytes(connection);
    else
        dispatchIfComplete(connection);
}

////////////////////////////////////////////////////////////
void Ingress::Impl::close(const ConnectionPtr& connection)
{
    asio::error_code ignored;
    connection->socket.close(ignored);
    connections.erase(connection);
    const std::lock_guard<std::mutex> lock(countersMutex);
    counts.open = connections.size();
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
    const auto                 now = Clock::now();
    std::vector<ConnectionPtr> expired;
    for (const ConnectionPtr& connection : connections)
    {
        const auto age = now - connection->since;
        switch (connection->state)
        {
        case ConnectionState::Serving:
            if (connection->bodyRead && age > sweepEvery && connection->io.hungUp())
                connection->cancellation->cancel();
            break;
        case ConnectionState::Head:
            if (age > settings.headTime)
                expired.push_back(connection);
            break;
        case ConnectionState::Idle:
            if (age > settings.idleTime || (closing && connection->io.quiet()))
                expired.push_back(connection);
            break;
        }
    }
    for (const ConnectionPtr& connection : expired)
    {
        if (connection->state == ConnectionState::Head)
            refuseEarly(connection, 408, "the request's head took too long");
        else
            close(connection);
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
void Ingress::leave()
{
    m_impl->leaving = true;
}

////////////////////////////////////////////////////////////
bool Ingress::finish(core::Duration patience)
{
    m_impl->leaving = true;
    m_impl->closing = true;
    asio::post(m_impl->context,
               [this]
               {
                   asio::error_code ignored;
                   m_impl->acceptor.close(ignored);
               });
    const auto until = Clock::now() + patience;
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
    const std::lock_guard<std::mutex> lock(m_impl->countersMutex);
    return m_impl->counts;
}

} // namespace sailpath::adapters::http
