#include "ServerConnections.hpp"

#include <algorithm>

namespace sailpath::gateway::priv
{
////////////////////////////////////////////////////////////
ServerConnections::ServerConnections(asio::io_context& context, const GatewaySettings& settings, const Dialect& dialect,
                                     CountCallback onCount, ServerConnection::NoticeCallback onNotice) :
m_context(context),
m_settings(settings),
m_dialect(dialect),
m_onCount(std::move(onCount)),
m_onNotice(std::move(onNotice))
{
}

////////////////////////////////////////////////////////////
std::shared_ptr<ServerConnection>
ServerConnections::acquire(const std::shared_ptr<const deployment::Instance>& instance, bool recentlyUsed)
{
    List&                             list = m_byInstance[instance->id];
    // The connection that became idle last is the least likely to have been closed by the server.
    std::shared_ptr<ServerConnection> best;
    for (const auto& connection : list)
    {
        const core::Duration limit = recentlyUsed
                                         ? std::min(m_settings.maxIdleBeforeNonRepeatable, idleLimit(*connection))
                                         : idleLimit(*connection);
        const bool           usable = connection->idle() && connection->idleTime() < limit &&
                            deployment::sameInstance(connection->instance(), *instance);
        if (usable && (!best || connection->idleTime() < best->idleTime()))
            best = connection;
    }
    return best ? best : add(instance);
}

////////////////////////////////////////////////////////////
std::shared_ptr<ServerConnection> ServerConnections::add(const std::shared_ptr<const deployment::Instance>& instance)
{
    ++m_opened;
    auto added = std::make_shared<ServerConnection>(
        m_context, instance, m_settings, m_dialect,
        [this](ServerConnection& connection) { connectionChanged(connection); }, m_onNotice);
    m_byInstance[instance->id].push_back(added);
    return added;
}

////////////////////////////////////////////////////////////
void ServerConnections::check(const std::shared_ptr<const deployment::Instance>& instance,
                              ServerConnection::CheckCallback                    onChecked)
{
    add(instance)->check(std::move(onChecked));
}

////////////////////////////////////////////////////////////
core::Duration ServerConnections::idleLimit(const ServerConnection& connection) const
{
    const core::Duration declaredLimit = connection.keepAliveTimeout() * 6 / 10;
    return declaredLimit.count() > 0 ? std::min(declaredLimit, m_settings.maxServerIdle) : m_settings.maxServerIdle;
}

////////////////////////////////////////////////////////////
void ServerConnections::closeExpired()
{
    closeIdleWhere(
        [this](const ServerConnection& connection) {
            return connection.idleTime() > idleLimit(connection) ||
                   m_evacuated.contains(connection.instance().dataCentre);
        });
}

////////////////////////////////////////////////////////////
void ServerConnections::closeIdle()
{
    closeIdleWhere([](const ServerConnection&) { return true; });
}

////////////////////////////////////////////////////////////
void ServerConnections::setEvacuated(const std::set<std::string>& dataCentres)
{
    if (dataCentres == m_evacuated)
        return;
    m_evacuated = dataCentres;
    closeExpired();
}

////////////////////////////////////////////////////////////
void ServerConnections::closeRestarted(std::span<const deployment::Instance> instances)
{
    std::unordered_map<std::string_view, std::uint64_t> born;
    for (const deployment::Instance& instance : instances)
        born.emplace(instance.id, instance.born);
    closeIdleWhere(
        [&born](const ServerConnection& connection)
        {
            const auto current = born.find(connection.instance().id);
            return current != born.end() && current->second != connection.instance().born;
        });
}

////////////////////////////////////////////////////////////
void ServerConnections::closeIdleWhere(const std::function<bool(const ServerConnection&)>& condition)
{
    std::vector<std::shared_ptr<ServerConnection>> chosen;
    for (const auto& [id, list] : m_byInstance)
        std::copy_if(list.begin(), list.end(), std::back_inserter(chosen),
                     [&](const auto& item) { return item->idle() && condition(*item); });
    for (const auto& connection : chosen)
        connection->close();
}

////////////////////////////////////////////////////////////
void ServerConnections::connectionChanged(ServerConnection& connection)
{
    const deployment::Instance instance = connection.instance();
    if (connection.closed())
    {
        const auto found = m_byInstance.find(instance.id);
        if (found != m_byInstance.end())
        {
            std::erase_if(found->second, [&](const auto& item) { return item.get() == &connection; });
            if (found->second.empty())
                m_byInstance.erase(found);
        }
    }
    reportCounts(instance);
}

////////////////////////////////////////////////////////////
void ServerConnections::reportCounts(const deployment::Instance& instance)
{
    const auto found = m_byInstance.find(instance.id);
    if (found == m_byInstance.end())
        return m_onCount(instance, 0, 0);
    const auto idle =
        std::count_if(found->second.begin(), found->second.end(), [](const auto& item) { return item->idle(); });
    m_onCount(instance, static_cast<unsigned>(idle), static_cast<unsigned>(found->second.size()));
}

////////////////////////////////////////////////////////////
std::uint64_t ServerConnections::opened() const
{
    return m_opened;
}

} // namespace sailpath::gateway::priv
