#include "ServerConnections.hpp"

#include <algorithm>

namespace sailpath::gateway::priv
{
////////////////////////////////////////////////////////////
ServerConnections::ServerConnections(asio::io_context& context, const GatewaySettings& settings, const Dialect& dialect,
                                     Counted counted, ServerConnection::Noticed noticed) :
m_context(context),
m_settings(settings),
m_dialect(dialect),
m_counted(std::move(counted)),
m_noticed(std::move(noticed))
{
}

////////////////////////////////////////////////////////////
std::shared_ptr<ServerConnection> ServerConnections::take(const std::shared_ptr<const deployment::Instance>& instance,
                                                          bool                                               proven)
{
    List&                             list = m_byInstance[instance->id];
    // The one that came to rest last is the likeliest to be open still.
    std::shared_ptr<ServerConnection> best;
    for (const auto& connection : list)
    {
        const core::Duration limit =
            proven ? std::min(m_settings.provenFor, restLimit(*connection)) : restLimit(*connection);
        const bool usable = connection->idle() && connection->rest() < limit &&
                            deployment::sameInstance(connection->instance(), *instance);
        if (usable && (!best || connection->rest() < best->rest()))
            best = connection;
    }
    return best ? best : add(instance);
}

////////////////////////////////////////////////////////////
std::shared_ptr<ServerConnection> ServerConnections::add(const std::shared_ptr<const deployment::Instance>& instance)
{
    ++m_opened;
    auto added = std::make_shared<ServerConnection>(
        m_context, instance, m_settings, m_dialect, [this](ServerConnection& connection) { changed(connection); },
        m_noticed);
    m_byInstance[instance->id].push_back(added);
    return added;
}

////////////////////////////////////////////////////////////
void ServerConnections::check(const std::shared_ptr<const deployment::Instance>& instance,
                              ServerConnection::Checked                          checked)
{
    add(instance)->check(std::move(checked));
}

////////////////////////////////////////////////////////////
core::Duration ServerConnections::restLimit(const ServerConnection& connection) const
{
    const core::Duration told = connection.restLimit() * 6 / 10;
    return told.count() > 0 ? std::min(told, m_settings.serverIdle) : m_settings.serverIdle;
}

////////////////////////////////////////////////////////////
void ServerConnections::sweep()
{
    closeWhere(
        [this](const ServerConnection& connection) {
            return connection.rest() > restLimit(connection) || m_evacuated.contains(connection.instance().dataCentre);
        });
}

////////////////////////////////////////////////////////////
void ServerConnections::closeIdle()
{
    closeWhere([](const ServerConnection&) { return true; });
}

////////////////////////////////////////////////////////////
void ServerConnections::setEvacuated(const std::set<std::string>& dataCentres)
{
    if (dataCentres == m_evacuated)
        return;
    m_evacuated = dataCentres;
    sweep();
}

////////////////////////////////////////////////////////////
void ServerConnections::closeEarlierLives(std::span<const deployment::Instance> instances)
{
    std::unordered_map<std::string_view, std::uint64_t> born;
    for (const deployment::Instance& instance : instances)
        born.emplace(instance.id, instance.born);
    closeWhere(
        [&born](const ServerConnection& connection)
        {
            const auto now = born.find(connection.instance().id);
            return now != born.end() && now->second != connection.instance().born;
        });
}

////////////////////////////////////////////////////////////
void ServerConnections::closeWhere(const std::function<bool(const ServerConnection&)>& condition)
{
    std::vector<std::shared_ptr<ServerConnection>> chosen;
    for (const auto& [id, list] : m_byInstance)
        std::copy_if(list.begin(), list.end(), std::back_inserter(chosen),
                     [&](const auto& item) { return item->idle() && condition(*item); });
    for (const auto& connection : chosen)
        connection->close();
}

////////////////////////////////////////////////////////////
void ServerConnections::changed(ServerConnection& connection)
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
    count(instance);
}

////////////////////////////////////////////////////////////
void ServerConnections::count(const deployment::Instance& instance)
{
    const auto found = m_byInstance.find(instance.id);
    if (found == m_byInstance.end())
        return m_counted(instance, 0, 0);
    const auto idle =
        std::count_if(found->second.begin(), found->second.end(), [](const auto& item) { return item->idle(); });
    m_counted(instance, static_cast<unsigned>(idle), static_cast<unsigned>(found->second.size()));
}

////////////////////////////////////////////////////////////
std::uint64_t ServerConnections::opened() const
{
    return m_opened;
}

} // namespace sailpath::gateway::priv
