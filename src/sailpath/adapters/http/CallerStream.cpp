#include "CallerStream.hpp"

#include <algorithm>
#include <array>
#include <cstring>
#include <string_view>

namespace sailpath::adapters::http::priv
{
namespace
{
constexpr std::size_t      readAheadBytes = 16UL * 1024;
constexpr double           minBytesPerSecond = 1024; // Average rate that a caller must sustain after the timeout
constexpr std::string_view interimAnswer = "HTTP/1.1 100";

} // namespace

////////////////////////////////////////////////////////////
CallerStream::CallerStream(const net::TcpSocket& socket, std::string& buffered, core::Duration timeout) :
m_socket(socket),
m_buffered(buffered),
m_timeout(timeout)
{
}

////////////////////////////////////////////////////////////
bool CallerStream::is_readable() const
{
    return true;
}

////////////////////////////////////////////////////////////
bool CallerStream::is_writable() const
{
    return true;
}

////////////////////////////////////////////////////////////
ssize_t CallerStream::read(char* ptr, size_t size)
{
    if (m_buffered.empty())
    {
        if (isTooSlow())
            return -1;
        // The library reads lines byte by byte, so a small read fills the buffer instead of reading single bytes.
        if (size >= readAheadBytes)
        {
            const net::IoResult result = m_socket.read({ptr, size}, m_timeout);
            m_received += result.bytes;
            return result.status == net::IoStatus::Done ? static_cast<ssize_t>(result.bytes) : -1;
        }
        std::array<char, readAheadBytes> ahead{};
        const net::IoResult              result = m_socket.read(ahead, m_timeout);
        if (result.status != net::IoStatus::Done)
            return -1;
        m_received += result.bytes;
        m_buffered.assign(ahead.data(), result.bytes);
    }
    const std::size_t count = std::min(size, m_buffered.size());
    std::memcpy(ptr, m_buffered.data(), count);
    m_buffered.erase(0, count);
    return static_cast<ssize_t>(count);
}

////////////////////////////////////////////////////////////
ssize_t CallerStream::write(const char* ptr, size_t size)
{
    if (std::string_view(ptr, size).starts_with(interimAnswer))
    {
        const net::IoResult result = m_socket.write({ptr, size}, m_timeout);
        return result.status == net::IoStatus::Done ? static_cast<ssize_t>(result.bytes) : -1;
    }
    return static_cast<ssize_t>(size);
}

////////////////////////////////////////////////////////////
void CallerStream::get_remote_ip_and_port(std::string& ip, int& port) const
{
    ip.clear();
    port = 0;
}

////////////////////////////////////////////////////////////
void CallerStream::get_local_ip_and_port(std::string& ip, int& port) const
{
    ip.clear();
    port = 0;
}

////////////////////////////////////////////////////////////
bool CallerStream::isTooSlow() const
{
    // Without a minimum rate, a caller that sends single bytes at long intervals would occupy a worker forever.
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - m_start;
    return elapsed.count() > core::toSeconds(m_timeout) + static_cast<double>(m_received) / minBytesPerSecond;
}

////////////////////////////////////////////////////////////
int CallerStream::socket() const
{
    // The library only checks whether the descriptor is small enough for select(), which this stream does not use.
    return 0;
}

} // namespace sailpath::adapters::http::priv
