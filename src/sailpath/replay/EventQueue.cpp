#include <sailpath/replay/EventQueue.hpp>

#include <algorithm>

namespace sailpath::replay
{
////////////////////////////////////////////////////////////
void EventQueue::at(core::Timestamp time, Event event)
{
    m_heap.push_back({std::max(time, m_now), m_made++, std::move(event)});
    std::push_heap(m_heap.begin(), m_heap.end(), later);
}

////////////////////////////////////////////////////////////
void EventQueue::after(core::Duration delay, Event event)
{
    at(m_now + delay, std::move(event));
}

////////////////////////////////////////////////////////////
bool EventQueue::runNext()
{
    if (m_heap.empty())
        return false;
    std::pop_heap(m_heap.begin(), m_heap.end(), later);
    const Item item = std::move(m_heap.back());
    m_heap.pop_back();
    m_now = item.time;
    item.event();
    return true;
}

////////////////////////////////////////////////////////////
core::Timestamp EventQueue::now() const
{
    return m_now;
}

////////////////////////////////////////////////////////////
bool EventQueue::later(const Item& left, const Item& right)
{
    return left.time != right.time ? left.time > right.time : left.number > right.number;
}

} // namespace sailpath::replay
