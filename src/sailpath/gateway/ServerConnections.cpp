#include "ServerConnections.hpp"

#include <sailpath/core/Clock.hpp>

#include <algorithm>
#include <numeric>

namespace sailpath::gateway::priv
{
namespace
{
constexpr auto   minCheckTimeout = std::chrono::milliseconds{100}; // For a health answer, which takes a round trip
constexpr int    checkTimeoutFactor = 5;                           // Times the usual time to a health answer
constexpr double checkTimeGain = 0.1;                              // Weight of one answer in the usual time
constexpr auto   requestSilence = std::chrono::milliseconds{400};  // Without bytes of any server
constexpr auto   pauseThreshold = std::chrono::milliseconds{100};  // Delay of a timer that shows a pause of the loop
constexpr auto   catchUpTime = std::chrono::milliseconds{50};      // To read what arrived during a pause
constexpr auto   silenceMemory = std::chrono::seconds{6};
constexpr auto   verifyInterval = std::chrono::milliseconds{500}; // Between questions to helpers about one server
constexpr int    maxVerifications = 4;                            // In that time
constexpr int    maxChecks = 32; // Health checks in progress at one server that is not silent
constexpr auto   freshAge = std::chrono::seconds{1};

} // namespace

////////////////////////////////////////////////////////////
ServerConnections::ServerConnections(asio::io_context& context, const GatewaySettings& settings, const Dialect& dialect,
                                     CountCallback onCount, NoticeCallback onNotice) :
m_context(context),
m_settings(settings),
m_dialect(dialect),
m_onCount(std::move(onCount)),
m_onNotice(std::move(onNotice)),
m_paths{{}, {settings.self, settings.balance.dataCentre}, [this](const auto& server) { tryDirectly(server); }},
m_silenceTimer(context)
{
}

////////////////////////////////////////////////////////////
bool ServerConnections::isUsable(const ServerConnection& connection, const deployment::Instance& instance,
                                 const OutgoingRequest& request) const
{
    const core::Duration limit = request.atMostOnce
                                     ? std::min(m_settings.maxIdleBeforeNonRepeatable, idleLimit(connection))
                                     : idleLimit(connection);
    if (!connection.idle() || connection.idleTime() >= limit || !connection.maySend(request) ||
        !deployment::sameInstance(connection.instance(), instance))
        return false;
    const auto silent = m_silentSince.find(instance.id);
    if (silent != m_silentSince.end() && connection.heardAt() < silent->second)
        return false;
    if (!connection.helper().empty())
        return !m_paths.helpers.isAvoided(connection.helper(), core::now());
    const auto lostSince = m_paths.monitor.lostSince(instance, core::now());
    return !lostSince || connection.heardAt() > *lostSince;
}

////////////////////////////////////////////////////////////
std::shared_ptr<ServerConnection>
ServerConnections::acquire(const std::shared_ptr<const deployment::Instance>& instance, const OutgoingRequest& request)
{
    // Direct connections come first. The connection that became idle last is the least likely to have been closed.
    const auto better = [](const ServerConnection& left, const ServerConnection& right)
    {
        return left.helper().empty() != right.helper().empty() ? left.helper().empty()
                                                               : left.idleTime() < right.idleTime();
    };
    std::shared_ptr<ServerConnection> best;
    for (const auto& connection : m_byInstance[instance->id])
    {
        if (isUsable(*connection, *instance, request) && (!best || better(*connection, *best)))
            best = connection;
    }
    return best ? best : add(instance);
}

////////////////////////////////////////////////////////////
std::shared_ptr<ServerConnection> ServerConnections::add(const std::shared_ptr<const deployment::Instance>& instance,
                                                         paths::DialWays                                    ways)
{
    ++m_opened;
    auto added = std::make_shared<ServerConnection>(m_context, instance, m_settings, m_dialect, m_paths, ways, *this);
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
bool ServerConnections::mayCheck(const deployment::Instance& instance) const
{
    const auto found = m_byInstance.find(instance.id);
    return found == m_byInstance.end() ||
           std::count_if(found->second.begin(), found->second.end(),
                         [](const auto& connection) { return connection->isChecking(); }) < maxChecks;
}

////////////////////////////////////////////////////////////
void ServerConnections::setPeers(std::span<const deployment::Peer> peers)
{
    m_paths.helpers.setPeers(peers);
}

////////////////////////////////////////////////////////////
void ServerConnections::setHealthPaths(std::map<std::string, std::string> byService)
{
    m_healthPaths = std::move(byService);
}

////////////////////////////////////////////////////////////
void ServerConnections::forget(std::span<const deployment::Instance> gone)
{
    for (const deployment::Instance& instance : gone)
        m_paths.monitor.forget(instance, core::now());
}

////////////////////////////////////////////////////////////
void ServerConnections::tryServer(const std::shared_ptr<const deployment::Instance>& instance, paths::DialWays ways)
{
    const auto connection = add(instance, ways);
    const auto path = m_healthPaths.find(instance->service);
    if (path == m_healthPaths.end() || path->second.empty())
    {
        connection->check(
            [this, weak = std::weak_ptr<ServerConnection>(connection)](balance::CheckResult result)
            {
                // Without a health check, a connection that comes up is all that can be learned.
                const auto checked = weak.lock();
                if (checked && result == balance::CheckResult::Accepts)
                    heard(*checked);
            });
        return;
    }
    OutgoingRequest send;
    send.probe = true;
    send.head.append("GET ").append(path->second).append(" HTTP/1.1\r\nHost: ").append(instance->address);
    send.head.append("\r\n\r\n");
    connection->send(std::move(send), [](const balance::Outcome&, const ServerAnswer&) {});
}

////////////////////////////////////////////////////////////
void ServerConnections::provePath(std::span<const std::shared_ptr<const deployment::Instance>> servers)
{
    for (const auto& server : servers)
        tryServer(server, paths::DialWays::DirectOnly);
}

////////////////////////////////////////////////////////////
void ServerConnections::recheckPaths()
{
    if (const auto server = m_paths.monitor.nextRecheck(core::now()))
        tryServer(std::make_shared<const deployment::Instance>(*server), paths::DialWays::DirectOnly);
    std::erase_if(m_silentSince, [](const auto& entry) { return core::now() - entry.second > silenceMemory; });
    std::erase_if(m_helperHeardAt, [](const auto& entry) { return core::now() - entry.second > silenceMemory; });
    std::erase_if(m_triedAt, [](const auto& entry) { return core::now() - entry.second > silenceMemory; });
    std::erase_if(m_verifiedAt, [](const auto& entry) { return core::now() - entry.second > silenceMemory; });
}

////////////////////////////////////////////////////////////
void ServerConnections::verify(const std::shared_ptr<const deployment::Instance>& instance)
{
    const auto now = core::now();
    const auto last = m_verifiedAt.find(instance->id);
    const bool busy =
        std::count_if(m_verifiedAt.begin(), m_verifiedAt.end(),
                      [now](const auto& entry) { return now - entry.second < verifyInterval; }) >= maxVerifications;
    if (busy || m_paths.helpers.empty() || (last != m_verifiedAt.end() && now - last->second < verifyInterval))
        return;
    m_verifiedAt[instance->id] = now;
    tryServer(instance, paths::DialWays::TunnelOnly);
}

////////////////////////////////////////////////////////////
void ServerConnections::tryDirectly(const deployment::Instance& server)
{
    const auto now = core::now();
    const auto last = m_triedAt.find(server.id);
    const bool justTried = last != m_triedAt.end() && now - last->second < verifyInterval;
    if (justTried || !m_paths.monitor.needsTrial(server, now))
        return;
    m_triedAt[server.id] = now;
    tryServer(std::make_shared<const deployment::Instance>(server), paths::DialWays::DirectOnly);
}

////////////////////////////////////////////////////////////
void ServerConnections::awaiting(ServerConnection& connection)
{
    const auto now = core::now();
    const auto checkTimeout = std::max<core::Duration>(minCheckTimeout, checkTimeoutFactor * m_checkTime);
    auto&      queue = connection.isProbe() ? m_awaitedChecks : m_awaitedRequests;
    queue.push_back({connection.weak_from_this(), connection.sends(), now,
                     now + (connection.isProbe() ? checkTimeout : core::Duration(requestSilence))});
    if (!m_silenceTimerArmed)
        armSilenceTimer();
}

////////////////////////////////////////////////////////////
void ServerConnections::armSilenceTimer()
{
    const auto dropAnswered = [](std::deque<Awaited>& queue)
    {
        while (!queue.empty())
        {
            const auto connection = queue.front().connection.lock();
            if (connection && connection->awaits(queue.front().send))
                return;
            queue.pop_front();
        }
    };
    dropAnswered(m_awaitedChecks);
    dropAnswered(m_awaitedRequests);
    m_silenceTimerArmed = !m_awaitedChecks.empty() || !m_awaitedRequests.empty();
    if (!m_silenceTimerArmed)
        return;
    auto due = core::Timestamp::max();
    for (const auto* queue : {&m_awaitedChecks, &m_awaitedRequests})
        due = queue->empty() ? due : std::min(due, queue->front().due);
    m_silenceTimer.expires_after(due - core::now());
    m_silenceTimer.async_wait(
        [this, due](const asio::error_code& error)
        {
            if (error)
                return;
            // After a pause of the event loop, answers may have arrived that have not been read.
            if (core::now() - due > pauseThreshold)
            {
                for (auto* queue : {&m_awaitedChecks, &m_awaitedRequests})
                    std::for_each(queue->begin(), queue->end(),
                                  [](Awaited& item) { item.due = std::max(item.due, core::now() + catchUpTime); });
            }
            checkSilence();
            armSilenceTimer();
        });
}

////////////////////////////////////////////////////////////
void ServerConnections::checkSilence()
{
    const auto now = core::now();
    for (auto* queue : {&m_awaitedChecks, &m_awaitedRequests})
    {
        while (!queue->empty() && queue->front().due <= now)
        {
            const Awaited item = std::move(queue->front());
            queue->pop_front();
            const auto connection = item.connection.lock();
            // An answer to a request may take long; only when no server is heard, the path may be at fault.
            const bool counts = queue == &m_awaitedChecks || !m_paths.monitor.heardWithin(requestSilence, now);
            if (connection && connection->awaits(item.send) && connection->heardAt() < item.sentAt && counts)
                handleSilence(*connection, item.sentAt);
        }
    }
}

////////////////////////////////////////////////////////////
void ServerConnections::handleSilence(ServerConnection& connection, core::Timestamp sentAt)
{
    const auto       instance = std::make_shared<const deployment::Instance>(connection.instance());
    core::Timestamp& since = m_silentSince[instance->id];
    since = std::max(since, sentAt);
    const auto helperHeard = m_helperHeardAt.find(connection.helper());
    const bool neverHeard = connection.heardAt() == core::Timestamp{};
    if (connection.helper().empty() && neverHeard)
        m_paths.monitor.recordFailed(*instance, connection.openedAt(), core::now());
    if (!connection.helper().empty() && (helperHeard == m_helperHeardAt.end() || helperHeard->second < sentAt))
        m_paths.helpers.recordFailed(connection.helper(), paths::HelperFailure::Silent, core::now());
    verify(instance);
}

////////////////////////////////////////////////////////////
void ServerConnections::heard(ServerConnection& connection)
{
    const auto                  now = core::now();
    const deployment::Instance& server = connection.instance();
    if (connection.isProbe())
        m_checkTime +=
            std::chrono::duration_cast<core::Duration>(checkTimeGain * (now - connection.sentAt() - m_checkTime));
    if (connection.helper().empty())
        return m_paths.monitor.recordHeard(server, connection.openedAt(), now);
    m_helperHeardAt[connection.helper()] = now;
    // The helper's way works; when the direct one is silent meanwhile, it has failed.
    if (const auto silent = m_silentSince.find(server.id); silent != m_silentSince.end())
        m_paths.monitor.recordFailed(server, silent->second, now);
    m_paths.monitor.recordReached(server, now);
    tryDirectly(server);
}

////////////////////////////////////////////////////////////
void ServerConnections::endedUnheard(ServerConnection& connection)
{
    // A server that has no room resets new connections too; then others still accept some.
    if (m_paths.monitor.freshHeardWithin(freshAge, core::now()))
        return;
    m_paths.monitor.recordFailed(connection.instance(), connection.openedAt(), core::now());
    verify(std::make_shared<const deployment::Instance>(connection.instance()));
}

////////////////////////////////////////////////////////////
void ServerConnections::noticed(const std::shared_ptr<const deployment::Instance>& instance,
                                const balance::ServerNotice& notice, balance::NoticeSource source)
{
    m_onNotice(instance, notice, source);
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
void ServerConnections::changed(ServerConnection& connection)
{
    const deployment::Instance instance = connection.instance();
    if (connection.closed())
    {
        if (!connection.helper().empty())
            m_paths.helpers.recordClosed(connection.helper());
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
Paths& ServerConnections::paths()
{
    return m_paths;
}

////////////////////////////////////////////////////////////
std::uint64_t ServerConnections::opened() const
{
    return m_opened;
}

////////////////////////////////////////////////////////////
std::size_t ServerConnections::tunnels() const
{
    std::size_t count = 0;
    for (const auto& [id, list] : m_byInstance)
        count += static_cast<std::size_t>(
            std::count_if(list.begin(), list.end(), [](const auto& item) { return !item->helper().empty(); }));
    return count;
}

////////////////////////////////////////////////////////////
std::size_t ServerConnections::unparsedBytes() const
{
    std::size_t bytes = 0;
    for (const auto& [id, list] : m_byInstance)
        bytes += std::accumulate(list.begin(), list.end(), std::size_t{0},
                                 [](std::size_t sum, const auto& item) { return sum + item->unparsedBytes(); });
    return bytes;
}

} // namespace sailpath::gateway::priv
