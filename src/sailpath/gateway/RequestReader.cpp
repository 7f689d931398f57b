#include "RequestReader.hpp"

#include <algorithm>
#include <bit>
#include <cassert>

namespace sailpath::gateway::priv
{
namespace
{
constexpr std::size_t maxChunks = 64; // Arrival times kept for unread bytes; later bytes get the time of the last chunk

} // namespace

////////////////////////////////////////////////////////////
void RequestReader::append(std::string_view bytes, core::Timestamp receivedAt)
{
    if (m_stopped || bytes.empty())
        return;
    m_unread.append(bytes);
    if (m_chunks.size() < maxChunks)
        m_chunks.push_back({bytes.size(), receivedAt});
    else
        m_chunks.back().bytes += bytes.size();
}

////////////////////////////////////////////////////////////
void RequestReader::stop()
{
    m_stopped = true;
    m_unread.clear();
    m_chunks.clear();
    m_message.reset();
}

////////////////////////////////////////////////////////////
http::ReadState RequestReader::read(const deployment::CallerLimits& limits)
{
    // Empty lines before a request are skipped.
    if (!m_message)
        consume(std::min(m_unread.bytes().find_first_not_of("\r\n"), m_unread.size()));
    if (!m_message && m_unread.empty())
        return http::ReadState::Head;
    if (!m_message)
    {
        m_message =
            std::make_unique<http::MessageReader>(http::MessageKind::Request, limits.headBytes, limits.bodyBytes);
        m_firstByteAt = m_chunks.front().receivedAt;
    }
    consume(m_message->read(m_unread.bytes()));
    return m_message->state();
}

////////////////////////////////////////////////////////////
void RequestReader::consume(std::size_t bytes)
{
    m_unread.consume(bytes);
    while (bytes > 0)
    {
        Chunk&            oldest = m_chunks.front();
        const std::size_t consumed = std::min(bytes, oldest.bytes);
        oldest.bytes -= consumed;
        bytes -= consumed;
        if (oldest.bytes == 0)
            m_chunks.pop_front();
    }
}

////////////////////////////////////////////////////////////
std::string RequestReader::takeBody()
{
    return m_message->takeBody();
}

////////////////////////////////////////////////////////////
void RequestReader::finishRequest()
{
    m_message.reset();
}

////////////////////////////////////////////////////////////
bool RequestReader::hasRequest() const
{
    return m_message != nullptr;
}

////////////////////////////////////////////////////////////
bool RequestReader::empty() const
{
    return !m_message && m_unread.bytes().find_first_not_of("\r\n") == std::string_view::npos;
}

////////////////////////////////////////////////////////////
std::optional<core::Timestamp> RequestReader::oldestInputAt() const
{
    if (m_message)
        return m_firstByteAt;
    return empty() ? std::nullopt : std::optional(m_chunks.front().receivedAt);
}

////////////////////////////////////////////////////////////
bool RequestReader::headComplete() const
{
    return m_message && m_message->state() != http::ReadState::Head;
}

////////////////////////////////////////////////////////////
const http::Head& RequestReader::head() const
{
    assert(m_message);
    return m_message->head();
}

////////////////////////////////////////////////////////////
core::Timestamp RequestReader::firstByteAt() const
{
    return m_firstByteAt;
}

////////////////////////////////////////////////////////////
std::int64_t RequestReader::bodyBytesToReserve() const
{
    // A declared length is reserved at once, so that concurrent bodies cannot all run out of memory half way. Otherwise
    // the memory of the body doubles as it grows.
    const std::size_t received = m_message->bodySize();
    return static_cast<std::int64_t>(m_message->bodyLength().value_or(received > 0 ? std::bit_ceil(received) : 0));
}

////////////////////////////////////////////////////////////
std::size_t RequestReader::unreadBytes() const
{
    return m_unread.size();
}

} // namespace sailpath::gateway::priv
