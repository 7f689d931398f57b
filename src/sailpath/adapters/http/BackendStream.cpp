#include "BackendStream.hpp"

#include <algorithm>
#include <cstring>

namespace sailpath::adapters::http::priv
{
namespace
{
constexpr std::size_t readBufferBytes = 16UL * 1024;
constexpr std::size_t maxHeadBytes = 64UL * 1024;
// Chunk sizes, chunk extensions and the trailer: as much as a head, and some for each byte of the body, so that small
// chunks are read whatever their number. A chunk of one byte takes five.
constexpr std::size_t maxFramingBytes = 64UL * 1024;
constexpr std::size_t framingPerBodyByte = 16;

} // namespace

////////////////////////////////////////////////////////////
BackendStream::BackendStream(const net::TcpSocket& socket, Clock::time_point deadline, core::Duration idleTimeout) :
m_socket(socket),
m_deadline(deadline),
m_idleTimeout(idleTimeout),
m_buffer(readBufferBytes)
{
}

////////////////////////////////////////////////////////////
bool BackendStream::mayHaveSent() const
{
    return m_sent;
}

////////////////////////////////////////////////////////////
bool BackendStream::received() const
{
    return m_received;
}

////////////////////////////////////////////////////////////
bool BackendStream::timedOut() const
{
    return m_timedOut;
}

////////////////////////////////////////////////////////////
std::string_view BackendStream::head() const
{
    return m_head;
}

////////////////////////////////////////////////////////////
void BackendStream::headComplete()
{
    m_headComplete = true;
}

////////////////////////////////////////////////////////////
void BackendStream::recordBody(std::size_t bytes)
{
    m_bodyBytes += bytes;
}

////////////////////////////////////////////////////////////
bool BackendStream::hasUnconsumedBytes() const
{
    return m_next != m_end;
}

////////////////////////////////////////////////////////////
bool BackendStream::is_readable() const
{
    return true;
}

////////////////////////////////////////////////////////////
bool BackendStream::is_writable() const
{
    return true;
}

////////////////////////////////////////////////////////////
ssize_t BackendStream::read(char* ptr, size_t size)
{
    if (m_next == m_end)
    {
        const net::IoResult result = m_socket.read(m_buffer, currentTimeout());
        m_timedOut = m_timedOut || result.status == net::IoStatus::Timeout;
        if (result.status == net::IoStatus::Closed)
            return m_socket.endedInOrder(currentTimeout()) ? 0 : -1;
        if (result.status != net::IoStatus::Done)
            return -1;
        m_received = true;
        m_next = 0;
        m_end = result.bytes;
    }
    const std::size_t count = std::min(size, m_end - m_next);
    std::memcpy(ptr, m_buffer.data() + m_next, count);
    m_next += count;
    if (m_headComplete)
    {
        // The library keeps a line until it is whole.
        m_bytesAfterHead += count;
        const bool exceedsFraming = m_bytesAfterHead > maxFramingBytes + (1 + framingPerBodyByte) * m_bodyBytes;
        return exceedsFraming ? -1 : static_cast<ssize_t>(count);
    }
    if (m_head.size() + count > maxHeadBytes)
        return -1;
    m_head.append(ptr, count);
    return static_cast<ssize_t>(count);
}

////////////////////////////////////////////////////////////
ssize_t BackendStream::write(const char* ptr, size_t size)
{
    // Set before the attempt, because a failed write may still have sent some bytes.
    m_sent = true;
    const net::IoResult result = m_socket.write({ptr, size}, currentTimeout());
    m_timedOut = m_timedOut || result.status == net::IoStatus::Timeout;
    return result.status == net::IoStatus::Done ? static_cast<ssize_t>(result.bytes) : -1;
}

////////////////////////////////////////////////////////////
void BackendStream::get_remote_ip_and_port(std::string& ip, int& port) const
{
    ip.clear();
    port = 0;
}

////////////////////////////////////////////////////////////
void BackendStream::get_local_ip_and_port(std::string& ip, int& port) const
{
    ip.clear();
    port = 0;
}

////////////////////////////////////////////////////////////
int BackendStream::socket() const
{
    return 0;
}

////////////////////////////////////////////////////////////
core::Duration BackendStream::currentTimeout() const
{
    if (m_headComplete)
        return m_idleTimeout;
    const auto remaining = std::chrono::duration_cast<core::Duration>(m_deadline - Clock::now());
    return std::max(remaining, core::Duration{0});
}

} // namespace sailpath::adapters::http::priv
