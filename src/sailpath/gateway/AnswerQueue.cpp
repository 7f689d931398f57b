#include "AnswerQueue.hpp"

#include <algorithm>
#include <utility>

namespace sailpath::gateway::priv
{
////////////////////////////////////////////////////////////
void AnswerQueue::expect(Turn turn)
{
    m_turns.push_back(std::move(turn));
}

////////////////////////////////////////////////////////////
Turn* AnswerQueue::find(balance::Ticket ticket)
{
    const auto found = std::find_if(m_turns.begin(), m_turns.end(),
                                    [&](const Turn& turn) { return turn.ticket == ticket && !turn.answer; });
    return found == m_turns.end() ? nullptr : &*found;
}

////////////////////////////////////////////////////////////
void AnswerQueue::put(Turn& turn, CallerAnswer answer, core::Timestamp now)
{
    if (&turn != &m_turns.front())
        turn.memory.add(static_cast<std::int64_t>(answer.head.size() + answer.body.size()));
    turn.answer = std::move(answer);
    turn.readyAt = now;
}

////////////////////////////////////////////////////////////
std::optional<Turn> AnswerQueue::takeReady()
{
    if (m_turns.empty() || !m_turns.front().answer)
        return std::nullopt;
    Turn first = std::move(m_turns.front());
    m_turns.pop_front();
    return first;
}

////////////////////////////////////////////////////////////
bool AnswerQueue::empty() const
{
    return m_turns.empty();
}

////////////////////////////////////////////////////////////
std::size_t AnswerQueue::size() const
{
    return m_turns.size();
}

////////////////////////////////////////////////////////////
std::vector<balance::Ticket> AnswerQueue::tickets() const
{
    std::vector<balance::Ticket> tickets;
    for (const Turn& turn : m_turns)
    {
        if (turn.ticket != 0)
            tickets.push_back(turn.ticket);
    }
    return tickets;
}

} // namespace sailpath::gateway::priv
