// What a node has learned of one service: exported for a snapshot, and the start from one.

#include <sailpath/balance/ServicePool.hpp>

namespace sailpath::balance
{
////////////////////////////////////////////////////////////
void ServicePool::addLearned(snapshot::LearnedState& to, core::Timestamp now) const
{
    const std::size_t before = to.routes.size();
    m_work.addLearned(m_name, to);
    for (std::size_t i = before; i < to.routes.size(); ++i)
    {
        const auto activity = m_routes.find(to.routes[i].route);
        // While requests are refused, retries make the remaining times short.
        if (activity != m_routes.end() && !underPressure(activity->second.rank, now))
            to.routes[i].callerTimeMs = core::toMilliseconds(activity->second.callerElapsed.shortest());
    }
}

////////////////////////////////////////////////////////////
void ServicePool::startFrom(const snapshot::LearnedState& state)
{
    for (const snapshot::LearnedService& service : state.services)
    {
        if (service.service == m_name)
            m_work.startFrom(service);
    }
    for (const snapshot::LearnedRoute& route : state.routes)
    {
        if (route.service != m_name)
            continue;
        m_work.startFrom(route);
        if (route.callerTimeMs > 0)
            m_routes[route.route].callerElapsed.startFrom(core::fromMilliseconds(route.callerTimeMs));
    }
}

} // namespace sailpath::balance
