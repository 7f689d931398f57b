#include <sailpath/adapters/http/AnswerWriter.hpp>

#include <array>
#include <cassert>
#include <charconv>

namespace sailpath::adapters::http
{
namespace
{
constexpr std::size_t flushThresholdBytes = 32UL * 1024; // Small answers are sent in one write

////////////////////////////////////////////////////////////
std::string makeChunkHeader(std::size_t size)
{
    std::array<char, 20> digits{};
    const auto           end = std::to_chars(digits.data(), digits.data() + digits.size(), size, 16).ptr;
    return std::string(digits.data(), end) + "\r\n";
}

} // namespace

////////////////////////////////////////////////////////////
AnswerWriter::AnswerWriter(const net::TcpSocket& socket, bool http10, bool keepAlive, core::Duration timeout) :
m_socket(socket),
m_http10(http10),
m_keepAlive(keepAlive),
m_timeout(timeout)
{
}

////////////////////////////////////////////////////////////
void AnswerWriter::begin(const AnswerHead& head)
{
    assert(!m_begun);
    m_begun = true;
    m_noBody = head.framing == BodyFraming::None;
    m_hasLength = head.framing == BodyFraming::Length;
    m_remaining = m_hasLength ? head.contentLength : 0;
    m_chunked = (head.framing == BodyFraming::Chunked || head.framing == BodyFraming::UntilEnd) && !m_http10;
    if (!m_noBody && !m_hasLength && !m_chunked)
        m_keepAlive = false;

    m_pending = "HTTP/1.1 " + std::to_string(head.status) + " " + head.reason + "\r\n";
    for (const Header& header : head.headers)
        m_pending.append(header.name).append(": ").append(header.value).append("\r\n");
    if (m_chunked)
        m_pending += "Transfer-Encoding: chunked\r\n";
    else if (m_hasLength || head.lengthWithoutBody)
        m_pending += "Content-Length: " + std::to_string(head.contentLength) + "\r\n";
    else if (m_noBody && head.status != 204 && head.status != 304)
        m_pending += "Content-Length: 0\r\n";
    if (!m_keepAlive)
        m_pending += "Connection: close\r\n";
    else if (m_http10)
        m_pending += "Connection: keep-alive\r\n";
    m_pending += "\r\n";
}

////////////////////////////////////////////////////////////
bool AnswerWriter::body(std::string_view data)
{
    assert(m_begun);
    if (m_broken)
        return false;
    if (m_noBody || data.empty())
        return true;
    if (m_hasLength && data.size() > m_remaining)
    {
        abort();
        return false;
    }
    m_remaining -= m_hasLength ? data.size() : 0;
    if (m_chunked)
        m_pending.append(makeChunkHeader(data.size())).append(data).append("\r\n");
    else
        m_pending.append(data);
    return m_pending.size() < flushThresholdBytes || flush();
}

////////////////////////////////////////////////////////////
bool AnswerWriter::end()
{
    assert(m_begun);
    if (m_broken)
        return false;
    if (m_hasLength && m_remaining > 0)
    {
        abort();
        return false;
    }
    if (m_chunked)
        m_pending += "0\r\n\r\n";
    return flush();
}

////////////////////////////////////////////////////////////
bool AnswerWriter::discardUnsent()
{
    if (m_sendStarted || m_broken)
        return false;
    m_begun = false;
    m_pending.clear();
    return true;
}

////////////////////////////////////////////////////////////
void AnswerWriter::abort()
{
    // Buffered bytes are dropped too, so that the caller cannot take a partial answer for a complete one.
    m_pending.clear();
    m_broken = true;
    m_keepAlive = false;
}

////////////////////////////////////////////////////////////
bool AnswerWriter::begun() const
{
    return m_begun;
}

////////////////////////////////////////////////////////////
bool AnswerWriter::mayKeepAlive() const
{
    return m_keepAlive && !m_broken;
}

////////////////////////////////////////////////////////////
bool AnswerWriter::flush()
{
    std::span<const char> unsent(m_pending);
    while (!unsent.empty())
    {
        m_sendStarted = true;
        const net::IoResult result = m_socket.write(unsent, m_timeout);
        if (result.status != net::IoStatus::Done)
        {
            abort();
            return false;
        }
        unsent = unsent.subspan(result.bytes);
    }
    m_pending.clear();
    return true;
}

} // namespace sailpath::adapters::http
