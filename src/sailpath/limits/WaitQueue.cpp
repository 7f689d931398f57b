#include <sailpath/limits/WaitQueue.hpp>

#include <algorithm>
#include <cassert>

namespace sailpath::limits
{
namespace
{
////////////////////////////////////////////////////////////
bool removeFrom(std::deque<WaitingRequest>& queue, std::uint32_t ticket)
{
    const auto found = std::find_if(queue.begin(), queue.end(),
                                    [ticket](const WaitingRequest& request) { return request.ticket == ticket; });
    if (found == queue.end())
        return false;
    queue.erase(found);
    return true;
}

////////////////////////////////////////////////////////////
std::optional<WaitingRequest> popExpiredFrom(std::deque<WaitingRequest>& queue, core::Timestamp now)
{
    const auto found = std::find_if(queue.begin(), queue.end(),
                                    [now](const WaitingRequest& request) { return request.deadline <= now; });
    if (found == queue.end())
        return std::nullopt;
    const WaitingRequest expired = *found;
    queue.erase(found);
    return expired;
}

} // namespace

////////////////////////////////////////////////////////////
WaitQueue::WaitQueue(std::size_t capacity) :
m_capacity(capacity)
{
}

////////////////////////////////////////////////////////////
void WaitQueue::setCapacity(std::size_t capacity)
{
    m_capacity = capacity;
}

////////////////////////////////////////////////////////////
bool WaitQueue::push(const WaitingRequest& request, std::optional<WaitingRequest>& displaced)
{
    const bool interactive = request.priority == config::Priority::Interactive;
    if (size() >= m_capacity)
    {
        if (!interactive || m_batch.empty() || m_capacity == 0)
            return false;
        displaced = m_batch.back();
        m_batch.pop_back();
    }
    (interactive ? m_interactive : m_batch).push_back(request);
    return true;
}

////////////////////////////////////////////////////////////
const WaitingRequest* WaitQueue::front() const
{
    if (size() == 0)
        return nullptr;
    return batchIsNext() ? &m_batch.front() : &m_interactive.front();
}

////////////////////////////////////////////////////////////
void WaitQueue::pop()
{
    assert(size() > 0);
    if (batchIsNext())
    {
        m_batch.pop_front();
        m_interactiveInRow = 0;
        return;
    }
    m_interactive.pop_front();
    ++m_interactiveInRow;
}

////////////////////////////////////////////////////////////
std::optional<WaitingRequest> WaitQueue::popExpired(core::Timestamp now)
{
    if (auto expired = popExpiredFrom(m_interactive, now))
        return expired;
    return popExpiredFrom(m_batch, now);
}

////////////////////////////////////////////////////////////
bool WaitQueue::remove(std::uint32_t ticket)
{
    return removeFrom(m_interactive, ticket) || removeFrom(m_batch, ticket);
}

////////////////////////////////////////////////////////////
std::size_t WaitQueue::countAhead(config::Priority priority) const
{
    if (priority == config::Priority::Batch)
        return size();
    return m_interactive.size() + std::min(m_batch.size(), m_interactive.size() / batchInterval);
}

////////////////////////////////////////////////////////////
std::size_t WaitQueue::size() const
{
    return m_interactive.size() + m_batch.size();
}

////////////////////////////////////////////////////////////
bool WaitQueue::batchIsNext() const
{
    if (m_batch.empty())
        return false;
    return m_interactive.empty() || m_interactiveInRow + 1 >= batchInterval;
}

} // namespace sailpath::limits
