#include "TunnelTraffic.hpp"

#include <limits>

namespace sailpath::gateway::priv
{
namespace
{
constexpr std::uint32_t maxHeadBytes = 64U * 1024;
constexpr std::uint64_t anyBodyBytes = std::numeric_limits<std::uint64_t>::max(); // Bodies are not kept
constexpr std::size_t   maxDue = 64; // Requests without an answer; other nodes send one at a time

} // namespace

////////////////////////////////////////////////////////////
void TunnelTraffic::passToServer(std::string_view bytes)
{
    if (m_isUnreadable)
        return;
    m_toServer.unread.append(bytes);
    while (readMessage(m_toServer, http::MessageKind::Request))
    {
        m_due.push_back(m_toServer.reader->head().method == "HEAD");
        m_toServer.reader.reset();
        if (m_due.size() > maxDue)
            return giveUp();
    }
}

////////////////////////////////////////////////////////////
void TunnelTraffic::passFromServer(std::string_view bytes)
{
    if (m_isUnreadable)
        return;
    m_fromServer.unread.append(bytes);
    const auto kind = [this]
    { return !m_due.empty() && m_due.front() ? http::MessageKind::AnswerNoBody : http::MessageKind::Answer; };
    while (readMessage(m_fromServer, kind()))
    {
        const bool isFinal = http::isFinalStatus(m_fromServer.reader->head().status);
        if (isFinal && !m_due.empty())
            m_due.pop_front();
        m_fromServer.reader.reset();
    }
}

////////////////////////////////////////////////////////////
bool TunnelTraffic::readMessage(Stream& stream, http::MessageKind kind)
{
    if (stream.unread.empty() || m_isUnreadable)
        return false;
    if (!stream.reader)
        stream.reader = std::make_unique<http::MessageReader>(kind, maxHeadBytes, anyBodyBytes);
    stream.reader->read(stream.unread);
    (void)stream.reader->takeBody();
    const http::ReadState state = stream.reader->state();
    if (state != http::ReadState::Head && state != http::ReadState::Body && state != http::ReadState::Done)
        giveUp();
    return state == http::ReadState::Done;
}

////////////////////////////////////////////////////////////
void TunnelTraffic::giveUp()
{
    m_isUnreadable = true;
    m_toServer = {};
    m_fromServer = {};
    m_due = {};
}

////////////////////////////////////////////////////////////
std::size_t TunnelTraffic::heldBytes() const
{
    return m_toServer.unread.size() + m_fromServer.unread.size();
}

////////////////////////////////////////////////////////////
bool TunnelTraffic::isBetweenRequests() const
{
    return !m_isUnreadable && !isAnswerDue() && m_toServer.unread.empty();
}

////////////////////////////////////////////////////////////
bool TunnelTraffic::isRequestUnfinished() const
{
    return !m_isUnreadable && m_toServer.reader;
}

////////////////////////////////////////////////////////////
bool TunnelTraffic::isAnswerDue() const
{
    return !m_isUnreadable && (!m_due.empty() || m_toServer.reader || m_fromServer.reader);
}

} // namespace sailpath::gateway::priv
