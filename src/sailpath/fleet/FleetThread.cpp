#include <sailpath/fleet/FleetThread.hpp>

#include <sailpath/adapters/links/LinkHub.hpp>
#include <sailpath/core/Clock.hpp>
#include <sailpath/deployment/InstanceRegistry.hpp>
#include <sailpath/fleet/QuarantineKeeper.hpp>
#include <sailpath/fleet/SnapshotKeeper.hpp>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <mutex>
#include <set>
#include <thread>

namespace sailpath::fleet
{
namespace
{
using core::now;
using replication::LinkId;
using replication::ReadResult;
using replication::ReadStatus;

constexpr auto nodeCountInterval = std::chrono::milliseconds{
    250}; // When a fleet starts, hundreds of nodes appear at once, and each publication copies the whole state
constexpr auto storeFailureWindow =
    std::chrono::milliseconds{1500}; // Removed entries may be due to a failure of the store this recent
constexpr std::size_t maxPeers = 64; // Published; enough to find one that has a path while nine in ten have none
constexpr auto        splitCheckInterval = std::chrono::seconds{1};
constexpr double      splitShare = 0.8; // Of the remembered nodes; nodes restarted or removed one by one are fewer

////////////////////////////////////////////////////////////
/// \brief Convert the subject of a report to its form on the wire, and back
///
/// A node of a former version takes each record for a limit. With the topic in the subject it knows no such server.
////////////////////////////////////////////////////////////
std::uint32_t wireSubject(std::uint32_t subject, std::uint8_t topic)
{
    constexpr std::uint32_t spread = 0x9e3779b9; // An odd number, so that topics differ in many bits
    return subject ^ (topic * spread);
}

////////////////////////////////////////////////////////////
Moment moment()
{
    const auto unixTime = std::chrono::system_clock::now().time_since_epoch();
    return {now(), std::chrono::duration_cast<std::chrono::milliseconds>(unixTime).count()};
}

} // namespace

////////////////////////////////////////////////////////////
struct FleetThread::Impl
{
    Impl(FleetSettings fleetSettings, const MakeSource& makeSource, const Translator& entryTranslator,
         PublishHandler publishHandler, ports::EventLog& eventLog) :
    settings(std::move(fleetSettings)),
    translator(entryTranslator),
    onPublish(std::move(publishHandler)),
    log(eventLog),
    timer(context),
    source(makeSource(context)),
    replica(settings.replica, now()),
    registry(settings.retention),
    quarantines(settings.replica.self.address, settings.replica.randomSeed),
    snapshots(settings.replica.randomSeed + 1),
    hub(context, settings.listen,
        {[this](LinkId link) { step([&] { linkOpened(link); }); },
         [this](LinkId link) { step([&] { replica.linkClosed(link, now()); }); },
         [this](LinkId link, const adapters::links::LinkMessage& message) { received(link, message); },
         [this](LinkId link) { replica.linkDataReceived(link, now()); },
         [this](adapters::links::TunnelRequest request) { tunnelAsked(std::move(request)); }})
    {
        asio::post(context, [this] { step([] {}); });
        thread = std::thread([this] { context.run(); });
    }

    ~Impl()
    {
        asio::post(context, [this] { context.stop(); });
        thread.join();
    }

    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    void linkOpened(LinkId link)
    {
        if (!start.linkAt && !start.copyAt)
            start.linkAt = now();
        replica.linkOpened(link, now());
    }

    void tunnelAsked(adapters::links::TunnelRequest request)
    {
        if (replica.isMember(request.peer) && onTunnelRequest)
            return onTunnelRequest(std::move(request));
        log.write(ports::Level::Warning, "tunnel-denied", {{"peer", request.peer}, {"reason", "not-a-member"}});
    }

    void deliverServerReports()
    {
        std::vector<deployment::ServerFailure> failures;
        deployment::CrashReport                crashes;
        std::vector<deployment::LimitReport>   limits;
        for (const replication::ServerReport& report : replica.takeServerReports())
        {
            for (const std::uint32_t server : report.servers)
                failures.push_back({report.origin, server});
            for (const replication::EndRecord& end : report.ends)
                crashes.ends.push_back({report.origin,
                                        end.server,
                                        {end.content, end.caller},
                                        std::chrono::milliseconds{end.ranMs},
                                        std::chrono::milliseconds{end.agoMs}});
            crashes.served.insert(crashes.served.end(), report.served.begin(), report.served.end());
            for (const replication::LimitRecord& limit : report.limits)
                limits.push_back({report.origin, wireSubject(limit.server, limit.topic), limit.perSecond,
                                  std::chrono::milliseconds{limit.agoMs}, limit.sent, limit.doublings,
                                  static_cast<deployment::LimitTopic>(limit.topic)});
        }
        if (!failures.empty() && onFailureReports)
            onFailureReports(std::move(failures));
        if (!crashes.empty() && onCrashReport)
            onCrashReport(std::move(crashes));
        if (!limits.empty() && onLimitReports)
            onLimitReports(std::move(limits));
    }

    void addLimits(std::span<const deployment::LimitReport> reports)
    {
        const auto at = now();
        for (const deployment::LimitReport& limit : reports)
        {
            const auto topic = static_cast<std::uint8_t>(limit.topic);
            replica.serverLimited(
                {wireSubject(limit.server, topic), limit.perSecond, 0, limit.sent, limit.doublings, topic},
                at - limit.ago, at);
        }
    }

    void addCrashes(const deployment::CrashReport& report)
    {
        const auto at = now();
        for (const deployment::ServerCrash& crash : report.ends)
        {
            replication::EndRecord record{crash.server, crash.request.content, crash.request.caller};
            record.ranMs = static_cast<std::uint32_t>(core::toMilliseconds(crash.ran));
            replica.serverEnded(record, at - crash.ago, at);
        }
        for (const core::ContentHash& content : report.served)
            replica.requestServed(content, at);
    }

    void writeQuarantines()
    {
        const auto item = quarantines.nextWrite(moment());
        if (!item)
            return;
        log.write(ports::Level::Info, "quarantine-written", {{"key", item->key}, {"gone", item->gone ? 1 : 0}});
        const auto written = [this](replication::WriteStatus status)
        {
            if (status == replication::WriteStatus::Unknown)
                log.write(ports::Level::Warning, "quarantine-not-written", {{"status", "refused or no answer"}});
            quarantines.finishWrite(status);
            step([] {});
        };
        if (item->revision == 0)
            source->create(item->key, item->value, written);
        else
            source->replace(*item, written);
    }

    void writeSnapshot()
    {
        const auto item = snapshots.nextWrite(moment());
        if (!item)
            return;
        ++snapshotWrites;
        log.write(ports::Level::Info, "snapshot-written", {{"bytes", item->value.size()}, {"after", item->revision}});
        const auto written = [this](replication::WriteStatus status)
        {
            if (status == replication::WriteStatus::Unknown)
                log.write(ports::Level::Warning, "snapshot-not-written", {{"status", "refused or no answer"}});
            snapshots.finishWrite();
            step([] {});
        };
        if (item->revision == 0)
            source->create(item->key, item->value, written);
        else
            source->replace(*item, written);
    }

    void applySnapshotEntry(const replication::Item& item)
    {
        const bool readable = snapshots.applyEntry(item, moment());
        const auto age = snapshots.age(moment());
        log.write(readable ? ports::Level::Info : ports::Level::Warning,
                  readable ? "snapshot-heard" : "snapshot-rejected",
                  {{"bytes", item.value.size()},
                   {"revision", item.revision},
                   {"ageMs", age ? core::toMilliseconds(*age) : 0}});
    }

    bool applyQuarantineEntry(const replication::Item& item)
    {
        const bool readable = quarantines.applyEntry(item, moment());
        log.write(readable ? ports::Level::Info : ports::Level::Warning,
                  readable ? "quarantine-heard" : "quarantine-rejected",
                  {{"key", item.key}, {"gone", item.gone ? 1 : 0}, {"revision", item.revision}});
        return readable;
    }

    /// \brief Record when the node became usable, and log the stages of its start once
    void recordStartStages()
    {
        if (start.usableAt || !deployment)
            return;
        start.usableAt = now();
        log.write(ports::Level::Info, "first-copy-in-force",
                  {{"linkMs", start.msTo(start.linkAt)},
                   {"copyMs", start.msTo(start.copyAt)},
                   {"usableMs", start.msTo(start.usableAt)},
                   {"from", readings.bytes > 0 ? "store" : "peer"},
                   {"items", replica.table().sequence()},
                   {"storeBytes", readings.bytes}});
    }

    void received(LinkId link, const adapters::links::LinkMessage& message)
    {
        step(
            [&]
            {
                if (const auto* hello = std::get_if<replication::Hello>(&message))
                    replica.helloReceived(link, *hello, now());
                else if (const auto* report = std::get_if<replication::Report>(&message))
                    replica.reportReceived(link, *report, now());
                else
                    replica.updateReceived(link, std::get<replication::Update>(message), now());
            });
    }

    template <typename Work>
    void step(Work work)
    {
        const auto before = now();
        const auto previousAge = replica.usable(before) ? replica.age(before) : core::Duration{};
        work();
        for (auto actions = replica.takeActions(); !actions.empty(); actions = replica.takeActions())
        {
            for (const auto& action : actions)
                std::visit([this](const auto& item) { perform(item); }, action);
        }
        if (replica.hasCopy() && !start.copyAt)
            start.copyAt = now();
        if (replica.usable(now()))
            apply(replica.takeChanges(), previousAge);
        recordStartStages();
        deliverServerReports();
        writeQuarantines();
        writeSnapshot();
        refreshStatus();
        armTimer();
    }

    void armTimer()
    {
        auto next = replica.nextDue();
        if (const auto due = registry.nextDue())
            next = std::min(next, *due);
        if (const auto due = quarantines.nextDue())
            next = std::min(next, *due);
        if (const auto due = snapshots.nextDue())
            next = std::min(next, *due);
        if (pendingDeployment)
            next = std::min(next, nextParseAt);
        // A timer that fires early only checks again, while resetting it costs a system call.
        if (timerArmed && timerDue <= next && timerDue + std::chrono::milliseconds{400} > next)
            return;
        timerArmed = true;
        timerDue = next;
        timer.expires_after(next - now());
        timer.async_wait(
            [this](const asio::error_code& error)
            {
                if (error)
                    return;
                timerArmed = false;
                step([this] { replica.tick(now()); });
            });
    }

    void perform(const replication::ReadStore& action)
    {
        const auto asked = now();
        ++readings.times;
        source->read(action.freshness,
                     [this, asked](const ReadResult& answer)
                     {
                         readings.bytes += answer.bytes;
                         const auto asOf = answer.snapshot ? std::optional(asked) : std::nullopt;
                         step(
                             [&]
                             {
                                 if (answer.status == ReadStatus::Ok)
                                     replica.storeRead(answer.items, answer.at, asOf, now(), answer.upTo);
                                 else
                                     failed(answer);
                             });
                     });
    }

    void perform(const replication::WatchStore& action)
    {
        ++watches.times;
        source->watch(action.after, action.wait,
                      [this](const ReadResult& answer)
                      {
                          watches.bytes += answer.bytes;
                          step(
                              [&]
                              {
                                  if (answer.status == ReadStatus::Ok)
                                      replica.storeChanged(answer.items, answer.at, now());
                                  else if (answer.status == ReadStatus::HistoryLost)
                                      replica.historyLost(now());
                                  else
                                      failed(answer);
                              });
                      });
    }

    void failed(const ReadResult& answer)
    {
        if (!storeLost)
            log.write(ports::Level::Warning, "store-lost", {{"why", answer.error}, ageField()});
        storeLost = true;
        replica.storeFailed(now());
    }

    void perform(const replication::CancelStoreCall&)
    {
        source->cancelRead();
    }

    void perform(const replication::OpenLink& action)
    {
        hub.open(action.link, action.address);
    }

    void perform(const replication::CloseLink& action)
    {
        hub.close(action.link);
    }

    void perform(const replication::SendHello& action)
    {
        hub.send(action.link, action.hello);
    }

    void perform(const replication::SendReport& action)
    {
        hub.send(action.link, action.report);
    }

    void perform(const replication::SendUpdate& action)
    {
        hub.send(action.link, action.update);
    }

    void perform(const replication::LogEvent& action)
    {
        if (action.value)
            log.write(ports::Level::Info, action.event, {{"subject", action.subject}, {"value", *action.value}});
        else
            log.write(ports::Level::Info, action.event, {{"subject", action.subject}, {"value", "never"}});
    }

    void apply(const std::vector<replication::Item>& changes, core::Duration previousAge)
    {
        const auto at = now();
        const bool storeIll = replica.storeFailedWithin(at, storeFailureWindow);
        if (replica.hasCopy() && replica.age(at) < previousAge)
            registry.applyRefresh(previousAge, at);
        bool changed = false;
        for (const replication::Item& item : changes)
        {
            if (translator.isDeployment(item.key))
                queueDeployment(item, at);
            else if (translator.isInstance(item.key))
                changed = applyInstance(item, storeIll, previousAge, at) || changed;
            else if (const std::string dataCentre = translator.evacuatedDataCentre(item.key); !dataCentre.empty())
                changed = applyEvacuation(dataCentre, item) || changed;
            else if (QuarantineKeeper::isQuarantineKey(item.key))
                changed = applyQuarantineEntry(item) || changed;
            else if (SnapshotKeeper::isSnapshotKey(item.key))
                applySnapshotEntry(item);
        }
        if (pendingDeployment && at >= nextParseAt)
            changed = parsePendingDeployment() || changed;
        const auto due = registry.nextDue();
        if (changed || (due && *due <= at))
        {
            registry.expire(storeIll, at);
            publish(storeIll);
        }
        else if (replica.nodeCount(at) != publishedNodes && at >= nextNodeCountAt)
        {
            nextNodeCountAt = at + nodeCountInterval;
            publish(storeIll);
        }
    }

    void queueDeployment(const replication::Item& item, core::Timestamp at)
    {
        if (item.gone)
            return;
        if (!pendingDeployment)
            pendingSince = at;
        pendingDeployment = item;
    }

    /// \brief Parse the latest configuration received
    ///
    /// Parsing a large configuration takes a small VM a good part of a second. After each parse, the thread has
    /// the same time for other work; of the configurations that arrive meanwhile, only the last is parsed.
    bool parsePendingDeployment()
    {
        const auto              begin = now();
        const replication::Item item = std::move(*pendingDeployment);
        pendingDeployment.reset();
        const bool changed = applyDeployment(item);
        const auto end = now();
        nextParseAt = end + (end - begin);
        return changed;
    }

    bool applyDeployment(const replication::Item& item)
    {
        core::Findings findings;
        auto           read = translator.deployment(item.value, findings);
        if (!read)
        {
            log.write(ports::Level::Error, "configuration-rejected",
                      {{"revision", item.revision}, {"findings", findings.text()}});
            return false;
        }
        if (deployment && read->version <= deployment->version)
            return false;
        log.write(
            ports::Level::Info, "configuration-in-force",
            {{"version", read->version}, {"revision", item.revision}, {"routes", read->routes.size()}, ageField()});
        for (const std::string& word : read->unknownKeywords)
            log.write(ports::Level::Warning, "configuration-word-unknown",
                      {{"version", read->version}, {"word", word}, {"taken", "runs-once"}});
        deployment = std::make_shared<const deployment::Deployment>(std::move(*read));
        return true;
    }

    bool applyInstance(const replication::Item& item, bool storeIll, core::Duration previousAge, core::Timestamp at)
    {
        if (item.gone)
        {
            const std::string id = translator.instanceId(item.key);
            log.write(ports::Level::Info, "instance-vanished",
                      {{"instance", id}, {"revision", item.revision}, {"storeIll", storeIll ? 1 : 0}});
            // The entry may have been removed at any time since the copy last matched the store.
            registry.applyRemoval(id, at - previousAge);
            return true;
        }
        core::Findings findings;
        const auto     read = translator.announcement(item.key, item.value, findings);
        if (!read)
        {
            // The entry is another writer's and names no server; a server with its id gets no more requests.
            ++rejectedEntries;
            log.write(ports::Level::Error, "instance-rejected",
                      {{"key", item.key}, {"revision", item.revision}, {"findings", findings.text()}});
            registry.applyUnreadableEntry(translator.instanceId(item.key), at);
            return true;
        }
        if (!registry.applyAnnouncement(*read))
        {
            log.write(
                ports::Level::Warning, "instance-late",
                {{"instance", read->instance.id}, {"lifeStartMs", read->instance.born}, {"revision", item.revision}});
            return false;
        }
        log.write(ports::Level::Info, "instance-announced",
                  {{"instance", read->instance.id},
                   {"service", read->instance.service},
                   {"draining", read->instance.draining ? 1 : 0},
                   {"warmUpMs", core::toMilliseconds(read->instance.warmUp)},
                   {"lifeStartMs", read->instance.born},
                   {"revision", item.revision}});
        return true;
    }

    /// \brief Apply the evacuation of a data centre or its end
    ///
    /// The copy moves a key to higher revisions only, so a lagging relay cannot restore an earlier state.
    bool applyEvacuation(const std::string& dataCentre, const replication::Item& item)
    {
        const bool changed = item.gone ? evacuated.erase(dataCentre) > 0 : evacuated.insert(dataCentre).second;
        if (changed)
            log.write(ports::Level::Info, item.gone ? "data-centre-taken-back" : "data-centre-evacuated",
                      {{"dataCentre", dataCentre}, {"revision", item.revision}, ageField()});
        return changed;
    }

    void publish(bool storeIll)
    {
        publishedNodes = replica.nodeCount(now());
        deployment::DeclaredState declared;
        declared.deployment = deployment;
        deployment::InstanceChanges changes = registry.takeChanges();
        declared.whole = !publishedOnce;
        declared.instances = std::move(changes.present);
        declared.gone = std::move(changes.gone);
        publishedOnce = true;
        declared.nodes = publishedNodes;
        declared.suspect = storeIll;
        declared.evacuated = evacuated;
        declared.members = replica.memberHashes(now());
        for (replication::NodeAddress& node : replica.listPeers(maxPeers, now()))
            declared.peers.push_back({std::move(node.address), std::move(node.dataCentre)});
        declared.quarantines = quarantines.list();
        declared.learned = snapshots.current(moment());
        onPublish(std::move(declared));
    }

    /// \brief Get the age of the copy in milliseconds; null when the copy never matched the store
    [[nodiscard]] std::optional<double> ageMs() const
    {
        return replica.provedAt() ? std::optional(core::toMilliseconds(replica.age(now()))) : std::nullopt;
    }

    [[nodiscard]] ports::Field ageField() const
    {
        const auto age = ageMs();
        return age ? ports::Field("ageMs", *age) : ports::Field("ageMs", "never");
    }

    /// \brief Log when many nodes that were heard of in the last minutes are silent, and when that ends
    ///
    /// Bounds that all nodes share are kept without the silent nodes.
    void checkForSplit()
    {
        if (now() < nextSplitCheck)
            return;
        nextSplitCheck = now() + splitCheckInterval;
        remembered = replica.rememberedNodeCount(now());
        const unsigned heard = replica.nodeCount(now());
        const bool     isSplit = static_cast<double>(heard) < splitShare * static_cast<double>(remembered);
        if (isSplit == splitLogged)
            return;
        splitLogged = isSplit;
        log.write(isSplit ? ports::Level::Warning : ports::Level::Info, isSplit ? "fleet-split" : "fleet-whole",
                  {{"heard", heard}, {"remembered", remembered}});
    }

    void refreshStatus()
    {
        const double age = ageMs().value_or(-1.0);
        if (storeLost && age >= 0 && age < 500)
        {
            storeLost = false;
            log.write(ports::Level::Info, "picture-regained", {ageField()});
        }
        checkForSplit();
        const std::lock_guard<std::mutex> lock(mutex);
        lastProvedAt = replica.provedAt();
        lastHeardAt = replica.lastContactAt();
        if (lastProvedAt && pendingDeployment)
            lastProvedAt = std::min(*lastProvedAt, pendingSince);
        statusSnapshot = {replica.table().revision(),
                          deployment ? deployment->version : 0,
                          age,
                          publishedNodes,
                          remembered,
                          replica.followerCount(),
                          source->callCount(),
                          replica.storeCallPending(),
                          readings,
                          watches,
                          start,
                          evacuated.size(),
                          rejectedEntries,
                          snapshotWrites,
                          snapshots.age(moment())};
    }

    FleetSettings                                 settings;
    const Translator&                             translator;
    PublishHandler                                onPublish;
    FailureHandler                                onFailureReports; // Set on the control thread
    CrashHandler                                  onCrashReport;    // Set on the control thread
    LimitHandler                                  onLimitReports;   // Set on the control thread
    TunnelHandler                                 onTunnelRequest;  // Set on the control thread
    ports::EventLog&                              log;
    asio::io_context                              context{1};
    asio::steady_timer                            timer;
    std::unique_ptr<replication::ItemSource>      source;
    replication::Replica                          replica;
    deployment::InstanceRegistry                  registry;
    QuarantineKeeper                              quarantines;
    SnapshotKeeper                                snapshots;
    std::uint64_t                                 snapshotWrites{0};
    adapters::links::LinkHub                      hub;
    std::shared_ptr<const deployment::Deployment> deployment;
    std::set<std::string>                         evacuated; // Names of evacuated data centres
    std::uint64_t                                 rejectedEntries{0};
    StoreUse                                      readings; // Reads of all items
    StoreUse                                      watches;  // Watches for changes
    StartStages                                   start{now(), {}, {}, {}};
    core::Timestamp                               timerDue{};
    bool                                          timerArmed{false};
    bool                                          storeLost{false};
    bool                                          splitLogged{false}; // The fleet was last logged as split
    std::size_t                                   remembered{1};      // Nodes heard of in the last ten minutes
    core::Timestamp                               nextSplitCheck{};
    bool               publishedOnce{false}; // A complete state was published; later ones hold changes only
    unsigned           publishedNodes{0};
    core::Timestamp    nextNodeCountAt{}; // Earliest time to publish a change of the number of nodes alone
    mutable std::mutex mutex;
    FleetStatus        statusSnapshot;
    std::optional<core::Timestamp>
        lastProvedAt; // When the copy last matched the store and its configuration was in force
    std::optional<core::Timestamp>   lastHeardAt;       // When a relay or the store last answered
    std::optional<replication::Item> pendingDeployment; // Latest configuration, not parsed yet
    core::Timestamp                  pendingSince{};    // Since when the configuration in force is not the latest
    core::Timestamp                  nextParseAt{};     // Earliest time to parse `pendingDeployment`
    std::thread                      thread;
};

////////////////////////////////////////////////////////////
FleetThread::FleetThread(FleetSettings settings, const MakeSource& makeSource, const Translator& translator,
                         PublishHandler onPublish, ports::EventLog& log) :
m_impl(std::make_unique<Impl>(std::move(settings), makeSource, translator, std::move(onPublish), log))
{
}

////////////////////////////////////////////////////////////
FleetThread::~FleetThread() = default;

////////////////////////////////////////////////////////////
std::optional<core::Timestamp> FleetThread::provedAt() const
{
    const std::lock_guard<std::mutex> lock(m_impl->mutex);
    return m_impl->lastProvedAt;
}

////////////////////////////////////////////////////////////
std::optional<core::Timestamp> FleetThread::heardAt() const
{
    const std::lock_guard<std::mutex> lock(m_impl->mutex);
    return m_impl->lastHeardAt;
}

////////////////////////////////////////////////////////////
void FleetThread::reportServerFailures(std::vector<std::uint32_t> servers)
{
    asio::post(m_impl->context,
               [this, servers = std::move(servers)]
               {
                   m_impl->step(
                       [&]
                       {
                           for (const std::uint32_t server : servers)
                               m_impl->replica.serverFailed(server, now());
                       });
               });
}

////////////////////////////////////////////////////////////
void FleetThread::onFailures(FailureHandler handler)
{
    asio::post(m_impl->context, [this, handler = std::move(handler)] { m_impl->onFailureReports = handler; });
}

////////////////////////////////////////////////////////////
void FleetThread::reportCrashes(deployment::CrashReport report)
{
    asio::post(m_impl->context,
               [this, report = std::move(report)] { m_impl->step([&] { m_impl->addCrashes(report); }); });
}

////////////////////////////////////////////////////////////
void FleetThread::onCrashes(CrashHandler handler)
{
    asio::post(m_impl->context, [this, handler = std::move(handler)] { m_impl->onCrashReport = handler; });
}

////////////////////////////////////////////////////////////
void FleetThread::reportLimits(std::vector<deployment::LimitReport> reports)
{
    asio::post(m_impl->context,
               [this, reports = std::move(reports)] { m_impl->step([&] { m_impl->addLimits(reports); }); });
}

////////////////////////////////////////////////////////////
void FleetThread::onLimits(LimitHandler handler)
{
    asio::post(m_impl->context, [this, handler = std::move(handler)] { m_impl->onLimitReports = handler; });
}

////////////////////////////////////////////////////////////
void FleetThread::onTunnels(TunnelHandler handler)
{
    asio::post(m_impl->context, [this, handler = std::move(handler)] { m_impl->onTunnelRequest = handler; });
}

////////////////////////////////////////////////////////////
void FleetThread::reportQuarantine(const deployment::Quarantine& quarantine)
{
    asio::post(m_impl->context,
               [this, quarantine] { m_impl->step([&] { m_impl->quarantines.addConclusion(quarantine, moment()); }); });
}

////////////////////////////////////////////////////////////
void FleetThread::offerSnapshot(snapshot::LearnedState learned)
{
    asio::post(m_impl->context,
               [this, learned = std::move(learned)]() mutable
               {
                   m_impl->step(
                       [&]
                       {
                           const unsigned nodes = m_impl->replica.nodeCount(now());
                           // Without a copy it is unknown whether the entry exists.
                           if (m_impl->replica.usable(now()))
                               m_impl->snapshots.offer(std::move(learned), nodes, moment());
                       });
               });
}

////////////////////////////////////////////////////////////
FleetStatus FleetThread::status() const
{
    const std::lock_guard<std::mutex> lock(m_impl->mutex);
    return m_impl->statusSnapshot;
}

} // namespace sailpath::fleet
