#include "AnswerQueue.hpp"

#include <algorithm>
#include <utility>

namespace sailpath::gateway::priv
{
////////////////////////////////////////////////////////////
void AnswerQueue::append(PendingAnswer pending)
{
    m_pending.push_back(std::move(pending));
}

////////////////////////////////////////////////////////////
PendingAnswer* AnswerQueue::findUnanswered(balance::Ticket ticket)
{
    const auto found =
        std::find_if(m_pending.begin(), m_pending.end(),
                     [&](const PendingAnswer& pending) { return pending.ticket == ticket && !pending.answer; });
    return found == m_pending.end() ? nullptr : &*found;
}

////////////////////////////////////////////////////////////
void AnswerQueue::setAnswer(PendingAnswer& pending, CallerAnswer answer, core::Timestamp now)
{
    if (&pending != &m_pending.front())
        pending.reservation.forceGrowBy(static_cast<std::int64_t>(answer.head.size() + answer.body.size()));
    pending.answer = std::move(answer);
    pending.answeredAt = now;
}

////////////////////////////////////////////////////////////
std::optional<PendingAnswer> AnswerQueue::popReady()
{
    if (m_pending.empty() || !m_pending.front().answer)
        return std::nullopt;
    PendingAnswer first = std::move(m_pending.front());
    m_pending.pop_front();
    return first;
}

////////////////////////////////////////////////////////////
bool AnswerQueue::empty() const
{
    return m_pending.empty();
}

////////////////////////////////////////////////////////////
std::size_t AnswerQueue::size() const
{
    return m_pending.size();
}

////////////////////////////////////////////////////////////
std::vector<balance::Ticket> AnswerQueue::tickets() const
{
    std::vector<balance::Ticket> tickets;
    for (const PendingAnswer& pending : m_pending)
    {
        if (pending.ticket != 0)
            tickets.push_back(pending.ticket);
    }
    return tickets;
}

} // namespace sailpath::gateway::priv
