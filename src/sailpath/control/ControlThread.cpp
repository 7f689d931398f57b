#include <sailpath/control/ControlThread.hpp>

#include <sailpath/control/ServerProbe.hpp>
#include <sailpath/documents/StoreKeys.hpp>
#include <sailpath/entry/SteadyClock.hpp>

#include <algorithm>

namespace sailpath::control
{
namespace
{
using documents::configurationPrefix;
using documents::toDocument;
using entry::steadyNow;
using ports::Level;

////////////////////////////////////////////////////////////
std::vector<state::Document> toDocuments(std::span<const ports::KeyValue> items)
{
    std::vector<state::Document> documents;
    for (const ports::KeyValue& item : items)
    {
        if (auto document = toDocument(item))
            documents.push_back(std::move(*document));
    }
    return documents;
}

} // namespace

////////////////////////////////////////////////////////////
ControlThread::ControlThread(node::ControllerSettings settings, adapters::peers::PeerSettings peers,
                             ControlPorts ports) :
m_settings(settings),
m_ports(ports),
m_controller(std::move(settings), steadyNow()),
m_loop(std::move(peers), *this),
m_lease(ports.store, m_settings)
{
    m_thread = std::thread(
        [this]
        {
            try
            {
                m_loop.run();
            }
            catch (const std::exception& error)
            {
                m_failure = error.what();
                m_failed = true;
            }
        });
}

////////////////////////////////////////////////////////////
ControlThread::~ControlThread()
{
    m_stopping = true;
    m_watchNumber = 0;
    m_ports.watcher.endWatch();
    m_storeThread.stop();
    m_probeThread.stop();
    m_watchThread.stop();
    m_loop.stop();
    m_thread.join();
}

////////////////////////////////////////////////////////////
void ControlThread::leave()
{
    runOnLoop([this] { m_controller.leave(steadyNow(), m_actions); });
}

////////////////////////////////////////////////////////////
ControlStatus ControlThread::status()
{
    ControlStatus status;
    runOnLoop(
        [this, &status]
        {
            status.revision = m_controller.revision();
            status.relay = m_controller.isRelay();
            status.members = m_controller.members().all();
            status.probes = m_probes;
            status.probeCost = m_probeCost;
            status.storeCalls = m_storeCalls;
        });
    return status;
}

////////////////////////////////////////////////////////////
int ControlThread::aliveVms() const
{
    return m_alive;
}

////////////////////////////////////////////////////////////
std::string ControlThread::failure() const
{
    return m_failed ? m_failure : std::string();
}

////////////////////////////////////////////////////////////
node::Digest ControlThread::exchangeReceived(const node::Digest& digest)
{
    node::Digest answer = m_controller.exchangeReceived(digest, steadyNow(), m_actions);
    runActions();
    return answer;
}

////////////////////////////////////////////////////////////
state::DocumentBatch ControlThread::documentsSince(std::uint64_t revision)
{
    return m_controller.documentsSince(revision);
}

////////////////////////////////////////////////////////////
void ControlThread::exchanged(const node::Digest& answer)
{
    m_controller.exchanged(answer, steadyNow(), m_actions);
    runActions();
}

////////////////////////////////////////////////////////////
void ControlThread::exchangeFailed(const std::string& peer)
{
    m_ports.log.write(Level::Info, "peer-unreachable", {{"peer", peer}});
    m_controller.exchangeFailed(peer, steadyNow(), m_actions);
    runActions();
}

////////////////////////////////////////////////////////////
void ControlThread::documentsReceived(const membership::Member& peer, const state::DocumentBatch& batch)
{
    m_controller.documentsReceived(peer, batch, steadyNow(), m_actions);
    runActions();
}

////////////////////////////////////////////////////////////
void ControlThread::pullFailed(const std::string& peer)
{
    m_ports.log.write(Level::Info, "pull-failed", {{"peer", peer}});
    m_controller.pullFailed();
}

////////////////////////////////////////////////////////////
void ControlThread::tick()
{
    m_ports.dispatcher.with([this](node::Dispatcher& dispatcher) { dispatcher.takeDrainingReports(m_reports); });
    for (const node::ServerReport& report : m_reports)
    {
        m_ports.log.write(Level::Info, "server-leaving",
                          {{"workspace", report.workspace}, {"service", report.service}, {"server", report.server}});
        m_controller.serverDraining(report, steadyNow(), m_actions);
    }
    m_controller.tick(steadyNow(), m_actions);
    m_alive = std::max(1, static_cast<int>(m_controller.members().aliveNames().size()));
    runActions();
}

////////////////////////////////////////////////////////////
void ControlThread::runActions()
{
    // Executing an action must not add other actions: results arrive later, through the loop.
    node::ControlActions actions;
    actions.swap(m_actions);
    for (const node::ControlAction& action : actions)
        std::visit([this](const auto& item) { perform(item); }, action);
}

////////////////////////////////////////////////////////////
void ControlThread::perform(const node::ExchangeWith& action)
{
    m_loop.exchange(action);
}

////////////////////////////////////////////////////////////
void ControlThread::perform(const node::PullDocuments& action)
{
    m_loop.pull(action);
}

////////////////////////////////////////////////////////////
void ControlThread::perform(const node::ReadStore&)
{
    m_storeThread.post(
        [this]
        {
            ++m_storeCalls;
            const ports::ReadAnswer answer = m_ports.store.range(configurationPrefix);
            runOnLoop(
                [this, &answer]
                {
                    const bool read = answer.status == ports::StoreStatus::Ok;
                    m_ports.log.write(read ? Level::Debug : Level::Warning, read ? "store-read" : "store-unavailable",
                                      {{"revision", answer.revision}});
                    if (read)
                        m_controller.storeRead(toDocuments(answer.items), answer.revision, steadyNow(), m_actions);
                    else
                        m_controller.storeFailed(steadyNow());
                });
        });
}

////////////////////////////////////////////////////////////
void ControlThread::perform(const node::WatchStore& action)
{
    const std::uint64_t number = ++m_watches;
    m_watchNumber = number;
    m_watchThread.post(
        [this, number, revision = action.revision]
        {
            ++m_storeCalls;
            m_ports.watcher.watch(
                configurationPrefix, revision,
                [this, number](std::span<const ports::KeyValue> items)
                {
                    if (m_watchNumber != number)
                        return false;
                    runOnLoop([this, items] { m_controller.storeChanged(toDocuments(items), steadyNow(), m_actions); });
                    return true;
                });
            runOnLoop(
                [this, number]
                {
                    if (m_watchNumber != number)
                        return;
                    m_ports.log.write(Level::Info, "watch-ended", {});
                    m_controller.storeFailed(steadyNow());
                });
        });
}

////////////////////////////////////////////////////////////
void ControlThread::perform(const node::StopWatch&)
{
    m_watchNumber = 0;
}

////////////////////////////////////////////////////////////
void ControlThread::perform(const node::ListMembers&)
{
    m_storeThread.post(
        [this]
        {
            ++m_storeCalls;
            if (const auto members = m_ports.vms.read())
                runOnLoop([this, &members] { m_controller.membersListed(*members, steadyNow()); });
        });
}

////////////////////////////////////////////////////////////
void ControlThread::perform(const node::AcquireLease& action)
{
    m_storeThread.post(
        [this, action]
        {
            m_storeCalls += 2;
            const node::LeaseAnswer answer = m_lease.acquire(action);
            runOnLoop(
                [this, &answer]
                {
                    if (answer.result == node::LeaseResult::Held)
                        m_ports.log.write(Level::Info, "probing-acquired", {{"group", answer.group}});
                    m_controller.leaseAnswered(answer, steadyNow());
                });
        });
}

////////////////////////////////////////////////////////////
void ControlThread::perform(const node::RenewLease& action)
{
    m_storeThread.post(
        [this, lease = action.lease]
        {
            ++m_storeCalls;
            const node::LeaseAnswer answer = m_lease.renew(lease);
            runOnLoop(
                [this, &answer]
                {
                    if (answer.result == node::LeaseResult::Gone)
                        m_ports.log.write(Level::Warning, "probing-lost", {});
                    m_controller.leaseAnswered(answer, steadyNow());
                });
        });
}

////////////////////////////////////////////////////////////
void ControlThread::perform(const node::ReleaseLease& action)
{
    m_storeThread.post(
        [this, lease = action.lease]
        {
            ++m_storeCalls;
            m_ports.store.revoke(lease);
        });
}

////////////////////////////////////////////////////////////
void ControlThread::perform(const node::SendProbe& action)
{
    ++m_probes;
    m_probeCost[action.target->workspace] += core::toMilliseconds(action.target->probeCost);
    m_probeThread.post(
        [this, target = action.target]
        {
            if (const auto report = probeServer(m_ports.client, *target))
                runOnLoop([this, &report] { m_controller.probed(*report, steadyNow(), m_actions); });
        });
}

////////////////////////////////////////////////////////////
void ControlThread::perform(const node::ApplyWorkspace& action)
{
    m_ports.dispatcher.with([&action](node::Dispatcher& dispatcher)
                            { dispatcher.configure(action.workspace, steadyNow()); });
    m_ports.log.write(Level::Info, "configuration-in-force",
                      {{"workspace", action.workspace.name}, {"revision", action.revision}});
}

////////////////////////////////////////////////////////////
void ControlThread::perform(const node::RemoveWorkspace& action)
{
    m_ports.dispatcher.with([&action](node::Dispatcher& dispatcher)
                            { dispatcher.removeWorkspace(action.workspace, steadyNow()); });
    m_ports.log.write(Level::Info, "workspace-removed",
                      {{"workspace", action.workspace}, {"revision", action.revision}});
}

////////////////////////////////////////////////////////////
void ControlThread::perform(const node::RejectedDocument& action)
{
    m_ports.log.write(
        Level::Error, "configuration-rejected",
        {{"workspace", action.workspace}, {"revision", action.revision}, {"findings", action.findings.text()}});
}

////////////////////////////////////////////////////////////
void ControlThread::perform(const node::ApplyServerReport& action)
{
    const node::ServerReport& report = action.report;
    m_ports.dispatcher.with(
        [&report](node::Dispatcher& dispatcher)
        {
            const auto at = steadyNow() - std::chrono::milliseconds{report.ageMs};
            dispatcher.recordServerReport(report.workspace, report.service, report.server, report.load, report.draining,
                                          at);
        });
}

////////////////////////////////////////////////////////////
void ControlThread::runOnLoop(const std::function<void()>& work)
{
    if (m_stopping)
        return;
    (void)m_loop.call(
        [this, &work]
        {
            work();
            runActions();
        });
}

} // namespace sailpath::control
