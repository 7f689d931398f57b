#include <sailpath/balance/LateSends.hpp>

namespace sailpath::balance
{
namespace
{
constexpr std::size_t maxSends = 1024;
constexpr auto        maxAge = std::chrono::minutes{10}; // Life of evidence

} // namespace

////////////////////////////////////////////////////////////
void LateSends::add(Ticket ticket, unsigned attempt, LateSend send)
{
    const core::Timestamp now = send.leftAt;
    while (!m_sends.empty() && (m_sends.size() >= maxSends || now - m_sends.begin()->second.leftAt > maxAge))
        m_sends.erase(m_sends.begin());
    m_sends.insert_or_assign({ticket, attempt}, std::move(send));
}

////////////////////////////////////////////////////////////
void LateSends::identify(Ticket ticket, unsigned attempt, const deployment::RequestIdentity& identity)
{
    const auto found = m_sends.find({ticket, attempt});
    if (found != m_sends.end())
        found->second.identity = identity;
}

////////////////////////////////////////////////////////////
std::optional<LateSend> LateSends::take(Ticket ticket, unsigned attempt, core::Timestamp now)
{
    const auto found = m_sends.find({ticket, attempt});
    if (found == m_sends.end())
        return std::nullopt;
    LateSend send = std::move(found->second);
    m_sends.erase(found);
    if (!send.identity || now - send.leftAt > maxAge)
        return std::nullopt;
    return send;
}

////////////////////////////////////////////////////////////
std::size_t LateSends::size() const
{
    return m_sends.size();
}

} // namespace sailpath::balance
