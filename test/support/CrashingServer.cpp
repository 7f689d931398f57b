#include <support/CrashingServer.hpp>
#include <support/ScriptedServer.hpp>

#include <asio/write.hpp>

#include <array>
#include <chrono>
#include <sys/socket.h>

namespace sailpath::support
{
namespace
{
constexpr auto handlingTime = std::chrono::milliseconds{5}; // From a request until its answer or the crash

} // namespace

////////////////////////////////////////////////////////////
CrashingServer::CrashingServer() :
m_acceptor(m_context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
m_port(m_acceptor.local_endpoint().port()),
m_thread(
    [this]
    {
        while (!m_crashed)
        {
            auto             socket = std::make_shared<asio::ip::tcp::socket>(m_context);
            asio::error_code error;
            m_acceptor.accept(*socket, error);
            const std::lock_guard<std::mutex> lock(m_mutex);
            if (error || m_crashed)
                return;
            m_sockets.push_back(socket);
            m_threads.emplace_back([this, socket] { serve(*socket); });
        }
    })
{
}

////////////////////////////////////////////////////////////
CrashingServer::~CrashingServer()
{
    crash();
    m_thread.join();
    for (std::thread& thread : m_threads)
        thread.join();
}

////////////////////////////////////////////////////////////
void CrashingServer::crash()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_crashed.exchange(true))
        return;
    // Shutting down the listening socket ends the blocking accept, after which no connection is accepted.
    ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
    for (const auto& socket : m_sockets)
        ::shutdown(socket->native_handle(), SHUT_RDWR);
}

////////////////////////////////////////////////////////////
void CrashingServer::serve(asio::ip::tcp::socket& socket)
{
    std::array<char, 4096> buffer{};
    std::string            unread;
    while (true)
    {
        asio::error_code  error;
        const std::size_t bytes = socket.read_some(asio::buffer(buffer), error);
        if (error)
            return;
        unread.append(buffer.data(), bytes);
        const auto head = unread.find("\r\n\r\n");
        if (head == std::string::npos)
            continue;
        const std::string length = fieldOf(unread, "Content-Length");
        if (unread.size() < head + 4 + (length.empty() ? 0 : std::stoul(length)))
            continue;
        if (!answer(socket, std::exchange(unread, {})))
            return;
    }
}

////////////////////////////////////////////////////////////
bool CrashingServer::answer(asio::ip::tcp::socket& socket, const std::string& request)
{
    const std::string target = request.substr(0, request.find(" HTTP"));
    if (target.ends_with("/waits"))
    {
        ++m_unanswered;
        return true;
    }
    std::this_thread::sleep_for(handlingTime);
    if (target.ends_with("/ends"))
    {
        crash();
        return false;
    }
    const std::string bytes =
        "HTTP/1.1 200 OK\r\nX-Id: " + fieldOf(request, "X-Id") + "\r\nX-Mark: m\r\nContent-Length: 2\r\n\r\nok";
    asio::error_code error;
    asio::write(socket, asio::buffer(bytes), error);
    return !error;
}

////////////////////////////////////////////////////////////
std::uint16_t CrashingServer::port() const
{
    return m_port;
}

////////////////////////////////////////////////////////////
bool CrashingServer::crashed() const
{
    return m_crashed;
}

////////////////////////////////////////////////////////////
std::size_t CrashingServer::unanswered() const
{
    return m_unanswered;
}

} // namespace sailpath::support
