#include <sailpath/adapters/http/ConnectionPool.hpp>

#include <algorithm>

namespace sailpath::adapters::http
{
////////////////////////////////////////////////////////////
ConnectionPool::ConnectionPool(std::size_t maxIdlePerServer, core::Duration maxIdleTime) :
m_maxIdlePerServer(maxIdlePerServer),
m_maxIdleTime(maxIdleTime)
{
}

////////////////////////////////////////////////////////////
net::TcpSocket ConnectionPool::take(const std::string& server, core::Duration maxIdleTime)
{
    const auto                        oldest = Clock::now() - std::min(maxIdleTime, m_maxIdleTime);
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto                        found = m_idle.find(server);
    if (found == m_idle.end())
        return {};
    while (!found->second.empty())
    {
        IdleConnection idle = std::move(found->second.back());
        found->second.pop_back();
        if (idle.since >= oldest && idle.socket.isIdle())
            return std::move(idle.socket);
    }
    return {};
}

////////////////////////////////////////////////////////////
void ConnectionPool::give(const std::string& server, net::TcpSocket socket)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    auto&                             idle = m_idle[server];
    if (idle.size() < m_maxIdlePerServer)
        idle.push_back({std::move(socket), Clock::now()});
}

////////////////////////////////////////////////////////////
bool ConnectionPool::allClosed(const std::string& server)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto                        found = m_idle.find(server);
    if (found == m_idle.end() || found->second.empty())
        return false;
    std::erase_if(found->second, [](const IdleConnection& idle) { return !idle.socket.isIdle(); });
    return found->second.empty();
}

////////////////////////////////////////////////////////////
void ConnectionPool::prune()
{
    const auto                        oldest = Clock::now() - m_maxIdleTime;
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (auto& server : m_idle)
        std::erase_if(server.second, [oldest](const IdleConnection& idle) { return idle.since < oldest; });
    std::erase_if(m_idle, [](const auto& server) { return server.second.empty(); });
}

} // namespace sailpath::adapters::http
