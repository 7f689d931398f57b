#include <support/EarlyServer.hpp>
#include <support/ScriptedServer.hpp>

#include <asio/write.hpp>

#include <algorithm>
#include <array>
#include <sys/socket.h>

namespace sailpath::support
{
namespace
{
constexpr std::chrono::milliseconds resetDelay{20};
// Of each connection. Without a bound the system may hold, and acknowledge, all of an upload that the server does not
// read; an end in order is then that of a whole answer by all signs, whatever follows it.
constexpr int                       receiveBufferBytes = 64 * 1024;
constexpr std::string_view          headEnd = "\r\n\r\n";

////////////////////////////////////////////////////////////
/// \brief Read `count` bytes and discard them; false when the connection ended before
////////////////////////////////////////////////////////////
bool discard(asio::ip::tcp::socket& socket, std::size_t count)
{
    std::array<char, 65536> buffer{};
    asio::error_code        error;
    while (count > 0 && !error)
        count -= socket.read_some(asio::buffer(buffer.data(), std::min(count, buffer.size())), error);
    return !error;
}

////////////////////////////////////////////////////////////
/// \brief Read the head of a request; `unread` gets what came of the body
////////////////////////////////////////////////////////////
std::string readHead(asio::ip::tcp::socket& socket, std::string& unread)
{
    std::array<char, 1024> buffer{};
    while (true)
    {
        const auto end = unread.find(headEnd);
        if (end != std::string::npos)
        {
            std::string head = unread.substr(0, end + headEnd.size());
            unread.erase(0, head.size());
            return head;
        }
        asio::error_code  error;
        const std::size_t bytes = socket.read_some(asio::buffer(buffer), error);
        if (error)
            return {};
        unread.append(buffer.data(), bytes);
    }
}

} // namespace

////////////////////////////////////////////////////////////
EarlyServer::EarlyServer(Answer answer) :
m_answer(std::move(answer)),
m_acceptor(m_context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
m_thread(
    [this]
    {
        m_acceptor.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes));
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
EarlyServer::~EarlyServer()
{
    m_stopping = true;
    ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
    m_thread.join();
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (const auto& socket : m_sockets)
        {
            if (socket->is_open())
                ::shutdown(socket->native_handle(), SHUT_RDWR);
        }
    }
    for (std::thread& thread : m_threads)
        thread.join();
}

////////////////////////////////////////////////////////////
void EarlyServer::serve(asio::ip::tcp::socket& socket)
{
    std::string       unread;
    const std::string head = readHead(socket, unread);
    const std::string length = fieldOf(head, "Content-Length");
    std::size_t       left = (length.empty() ? 0 : std::stoul(length)) - unread.size();
    if (head.empty())
        return;
    ++m_served;
    const EarlyScript script = m_answer(head);
    const std::size_t first = std::min(left, script.readFirst - std::min(script.readFirst, unread.size()));
    if (!discard(socket, first))
        return;
    left -= first;
    asio::error_code error;
    m_sent += asio::write(socket, asio::buffer(script.answer), error);
    std::this_thread::sleep_for(script.delay);
    const bool halfCloses = script.end == EarlyEnd::HalfCloseThenReset || script.end == EarlyEnd::HalfCloseThenRead;
    const bool reads = script.end == EarlyEnd::HalfCloseThenRead || script.end == EarlyEnd::ReadThenClose ||
                       script.end == EarlyEnd::ReadThenReset;
    const bool resets = script.end == EarlyEnd::Reset || script.end == EarlyEnd::HalfCloseThenReset ||
                        script.end == EarlyEnd::ReadThenReset;
    if (halfCloses)
        socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
    if (script.end == EarlyEnd::HalfCloseThenReset)
        std::this_thread::sleep_for(resetDelay);
    if (reads)
        (void)discard(socket, left);
    if (resets)
        socket.set_option(asio::socket_base::linger(true, 0), error);
    const std::lock_guard<std::mutex> lock(m_mutex);
    socket.close(error);
}

////////////////////////////////////////////////////////////
std::uint16_t EarlyServer::port() const
{
    return m_acceptor.local_endpoint().port();
}

////////////////////////////////////////////////////////////
std::size_t EarlyServer::served() const
{
    return m_served;
}

////////////////////////////////////////////////////////////
std::size_t EarlyServer::sent() const
{
    return m_sent;
}

} // namespace sailpath::support
