#include <support/ScriptedServer.hpp>

#include <asio/write.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <poll.h>
#include <sys/socket.h>

namespace sailpath::support
{
namespace
{
constexpr int readTimeoutMs = 5000;

////////////////////////////////////////////////////////////
std::size_t contentLength(const std::string& message)
{
    const std::string length = fieldOf(message, "Content-Length");
    return length.empty() ? 0 : std::stoul(length);
}

} // namespace

////////////////////////////////////////////////////////////
std::string fieldOf(const std::string& message, const std::string& name)
{
    std::string lower = message;
    std::string wanted = "\r\n" + name + ": ";
    const auto  toLower = [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); };
    std::transform(lower.begin(), lower.end(), lower.begin(), toLower);
    std::transform(wanted.begin(), wanted.end(), wanted.begin(), toLower);
    const auto at = lower.find(wanted);
    if (at == std::string::npos)
        return {};
    const auto from = at + wanted.size();
    return message.substr(from, message.find("\r\n", from) - from);
}

////////////////////////////////////////////////////////////
ScriptedServer::ScriptedServer(Answer answer) :
m_answer(std::move(answer)),
m_acceptor(m_context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
m_thread(
    [this]
    {
        while (!m_stopping)
        {
            auto             socket = std::make_shared<asio::ip::tcp::socket>(m_context);
            asio::error_code error;
            m_acceptor.accept(*socket, error);
            if (error || m_stopping)
                return;
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_sockets.push_back(socket);
            m_threads.emplace_back([this, socket] { serve(*socket); });
        }
    })
{
}

////////////////////////////////////////////////////////////
ScriptedServer::~ScriptedServer()
{
    m_stopping = true;
    ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
    m_thread.join();
    for (const auto& socket : m_sockets)
        ::shutdown(socket->native_handle(), SHUT_RDWR);
    for (std::thread& thread : m_threads)
        thread.join();
}

////////////////////////////////////////////////////////////
bool ScriptedServer::readRequest(asio::ip::tcp::socket& socket, std::string& unread, std::string& request)
{
    std::array<char, 4096> buffer{};
    while (true)
    {
        const auto end = unread.find("\r\n\r\n");
        if (end != std::string::npos && unread.size() >= end + 4 + contentLength(unread.substr(0, end + 2)))
        {
            const auto size = end + 4 + contentLength(unread.substr(0, end + 2));
            request = unread.substr(0, size);
            unread.erase(0, size);
            return true;
        }
        asio::error_code  error;
        const std::size_t bytes = socket.read_some(asio::buffer(buffer), error);
        if (error)
            return false;
        unread.append(buffer.data(), bytes);
    }
}

////////////////////////////////////////////////////////////
void ScriptedServer::serve(asio::ip::tcp::socket& socket)
{
    std::string unread;
    std::string request;
    while (readRequest(socket, unread, request))
    {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_requests.push_back(request);
        }
        const Script script = m_answer(request);
        std::this_thread::sleep_for(script.delay);
        asio::error_code error;
        if (script.silent)
        {
            std::array<char, 16> buffer{};
            (void)socket.read_some(asio::buffer(buffer), error);
            m_clientCloses += m_stopping ? 0 : 1;
            return;
        }
        asio::write(socket, asio::buffer(script.bytes), error);
        if (!script.rest.empty())
        {
            std::this_thread::sleep_for(script.restDelay);
            asio::write(socket, asio::buffer(script.rest), error);
        }
        if (script.reset)
            socket.set_option(asio::socket_base::linger(true, 0), error);
        if (script.close || script.reset || error)
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            socket.close(error);
            return;
        }
    }
}

////////////////////////////////////////////////////////////
std::uint16_t ScriptedServer::port() const
{
    return m_acceptor.local_endpoint().port();
}

////////////////////////////////////////////////////////////
std::vector<std::string> ScriptedServer::requests() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_requests;
}

////////////////////////////////////////////////////////////
std::size_t ScriptedServer::clientCloses() const
{
    return m_clientCloses;
}

////////////////////////////////////////////////////////////
TestCaller::TestCaller(std::uint16_t port) :
m_socket(m_context)
{
    m_socket.connect({asio::ip::make_address("127.0.0.1"), port});
}

////////////////////////////////////////////////////////////
void TestCaller::write(const std::string& bytes)
{
    asio::error_code ignored;
    asio::write(m_socket, asio::buffer(bytes), ignored);
}

////////////////////////////////////////////////////////////
bool TestCaller::waitReadable()
{
    pollfd polled{m_socket.native_handle(), POLLIN, 0};
    return ::poll(&polled, 1, readTimeoutMs) > 0;
}

////////////////////////////////////////////////////////////
std::string TestCaller::readAnswer()
{
    std::array<char, 4096> buffer{};
    while (true)
    {
        const auto end = m_unread.find("\r\n\r\n");
        if (end != std::string::npos && m_unread.size() >= end + 4 + contentLength(m_unread.substr(0, end + 2)))
        {
            const auto  size = end + 4 + contentLength(m_unread.substr(0, end + 2));
            std::string answer = m_unread.substr(0, size);
            m_unread.erase(0, size);
            return answer;
        }
        asio::error_code  error;
        const std::size_t bytes = waitReadable() ? m_socket.read_some(asio::buffer(buffer), error) : 0;
        if (error || bytes == 0)
            return std::exchange(m_unread, {});
        m_unread.append(buffer.data(), bytes);
    }
}

////////////////////////////////////////////////////////////
bool TestCaller::closedByPeer()
{
    std::array<char, 4096> buffer{};
    while (waitReadable())
    {
        asio::error_code error;
        (void)m_socket.read_some(asio::buffer(buffer), error);
        if (error)
            return true;
    }
    return false;
}

////////////////////////////////////////////////////////////
void TestCaller::close()
{
    asio::error_code ignored;
    m_socket.close(ignored);
}

} // namespace sailpath::support
