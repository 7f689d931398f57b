#include "RequestReader.hpp"

#include <algorithm>
#include <cassert>

namespace sailpath::gateway::priv
{
namespace
{
constexpr std::size_t mostPieces = 64; // Times kept of unread bytes; later ones count as come with the last of these

} // namespace

////////////////////////////////////////////////////////////
void RequestReader::received(std::string_view bytes, core::Timestamp at)
{
    if (m_stopped || bytes.empty())
        return;
    m_unread.append(bytes);
    if (m_pieces.size() < mostPieces)
        m_pieces.push_back({bytes.size(), at});
    else
        m_pieces.back().bytes += bytes.size();
}

////////////////////////////////////////////////////////////
void RequestReader::stop()
{
    m_stopped = true;
    m_unread.clear();
    m_pieces.clear();
    m_message.reset();
}

////////////////////////////////////////////////////////////
http::ReadState RequestReader::read(const deployment::CallerLimits& limits)
{
    // Empty lines before a request are no part of it.
    if (!m_message)
        drop(std::min(m_unread.find_first_not_of("\r\n"), m_unread.size()));
    if (!m_message && m_unread.empty())
        return http::ReadState::Head;
    if (!m_message)
    {
        m_message =
            std::make_unique<http::MessageReader>(http::MessageKind::Request, limits.headBytes, limits.bodyBytes);
        m_since = m_pieces.front().at;
    }
    drop(m_message->read(m_unread));
    return m_message->state();
}

////////////////////////////////////////////////////////////
void RequestReader::drop(std::size_t bytes)
{
    m_unread.erase(0, bytes);
    while (bytes > 0)
    {
        Piece&            first = m_pieces.front();
        const std::size_t part = std::min(bytes, first.bytes);
        first.bytes -= part;
        bytes -= part;
        if (first.bytes == 0)
            m_pieces.pop_front();
    }
}

////////////////////////////////////////////////////////////
std::string RequestReader::takeBody()
{
    return m_message->takeBody();
}

////////////////////////////////////////////////////////////
void RequestReader::next()
{
    m_message.reset();
}

////////////////////////////////////////////////////////////
bool RequestReader::begun() const
{
    return m_message != nullptr;
}

////////////////////////////////////////////////////////////
bool RequestReader::empty() const
{
    return !m_message && m_unread.find_first_not_of("\r\n") == std::string::npos;
}

////////////////////////////////////////////////////////////
bool RequestReader::headRead() const
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
core::Timestamp RequestReader::since() const
{
    return m_since;
}

////////////////////////////////////////////////////////////
std::int64_t RequestReader::bodyBytes() const
{
    // A length that is told is reserved whole, so that bodies that grow side by side cannot all fail.
    const auto told = static_cast<std::int64_t>(m_message->bodyLength().value_or(0));
    return std::max(told, static_cast<std::int64_t>(m_message->bodySize()));
}

////////////////////////////////////////////////////////////
std::size_t RequestReader::unread() const
{
    return m_unread.size();
}

} // namespace sailpath::gateway::priv
