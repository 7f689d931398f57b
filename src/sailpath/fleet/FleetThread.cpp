#include <sailpath/fleet/FleetThread.hpp>

#include <sailpath/adapters/links/LinkHub.hpp>
#include <sailpath/core/Clock.hpp>
#include <sailpath/deployment/InstanceRegistry.hpp>
#include <sailpath/fleet/QuarantineKeeper.hpp>

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
using replication::SourceAnswer;
using replication::SourceStatus;

constexpr auto nodesEvery =
    std::chrono::milliseconds{250}; // Hundreds of nodes come at once when a fleet starts; each telling copies all
constexpr auto illWithin =
    std::chrono::milliseconds{1500}; // A failure of the store this recent explains vanished entries

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
    Impl(FleetSettings given, const MakeSource& makeSource, const Translator& reads, Published told,
         ports::EventLog& events) :
    settings(std::move(given)),
    translator(reads),
    published(std::move(told)),
    log(events),
    timer(context),
    source(makeSource(context)),
    replica(settings.replica, now()),
    book(settings.belief),
    quarantines(settings.replica.self.address, settings.replica.seed),
    hub(context, settings.listen,
        {[this](LinkId link) { step([&] { linkOpened(link); }); },
         [this](LinkId link) { step([&] { replica.linkClosed(link, now()); }); },
         [this](LinkId link, const adapters::links::LinkMessage& message) { received(link, message); },
         [this](LinkId link) { replica.linkAlive(link, now()); }})
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

    void hearNews()
    {
        std::vector<deployment::ServerFailure> failures;
        deployment::CrashNews                  crashes;
        std::vector<deployment::LimitNews>     limits;
        for (const replication::ServerReport& report : replica.takeNews())
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
            for (const replication::LimitRecord& one : report.limits)
                limits.push_back({report.origin, one.server, one.perSecond, std::chrono::milliseconds{one.agoMs},
                                  one.sent, one.doublings});
        }
        if (!failures.empty() && heardFailures)
            heardFailures(std::move(failures));
        if (!crashes.empty() && heardCrashes)
            heardCrashes(std::move(crashes));
        if (!limits.empty() && heardLimits)
            heardLimits(std::move(limits));
    }

    void sawLimits(std::span<const deployment::LimitNews> news)
    {
        const auto at = now();
        for (const deployment::LimitNews& one : news)
            replica.serverLimited({one.server, one.perSecond, 0, one.sent, one.doublings}, at - one.ago, at);
    }

    void sawCrashes(const deployment::CrashNews& news)
    {
        const auto at = now();
        for (const deployment::ServerEnd& end : news.ends)
        {
            replication::EndRecord record{end.server, end.request.content, end.request.caller};
            record.ranMs = static_cast<std::uint32_t>(core::toMilliseconds(end.ran));
            replica.serverEnded(record, at - end.ago, at);
        }
        for (const core::ContentHash& content : news.served)
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
            quarantines.written(status);
            step([] {});
        };
        if (item->revision == 0)
            source->create(item->key, item->value, written);
        else
            source->replace(*item, written);
    }

    bool applyQuarantine(const replication::Item& item)
    {
        const bool read = quarantines.changed(item, moment());
        log.write(read ? ports::Level::Info : ports::Level::Warning, read ? "quarantine-heard" : "quarantine-rejected",
                  {{"key", item.key}, {"gone", item.gone ? 1 : 0}, {"revision", item.revision}});
        return read;
    }

    /// \brief Note the stages of the start, once each
    void noteStart()
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
        const auto oldAge = replica.usable(before) ? replica.age(before) : core::Duration{};
        work();
        for (auto actions = replica.takeActions(); !actions.empty(); actions = replica.takeActions())
        {
            for (const auto& action : actions)
                std::visit([this](const auto& item) { perform(item); }, action);
        }
        if (replica.known() && !start.copyAt)
            start.copyAt = now();
        if (replica.usable(now()))
            apply(replica.takeChanges(), oldAge);
        noteStart();
        hearNews();
        writeQuarantines();
        refreshStatus();
        arm();
    }

    void arm()
    {
        auto next = replica.nextDue();
        if (const auto due = book.nextDue())
            next = std::min(next, *due);
        if (const auto due = quarantines.nextDue())
            next = std::min(next, *due);
        if (awaited)
            next = std::min(next, readNext);
        // A timer that fires early only looks again; setting it anew costs a system call.
        if (armed && armedFor <= next && armedFor + std::chrono::milliseconds{400} > next)
            return;
        armed = true;
        armedFor = next;
        timer.expires_after(next - now());
        timer.async_wait(
            [this](const asio::error_code& error)
            {
                if (error)
                    return;
                armed = false;
                step([this] { replica.tick(now()); });
            });
    }

    void perform(const replication::ReadStore& action)
    {
        const auto asked = now();
        ++readings.times;
        source->read(action.how,
                     [this, asked](const SourceAnswer& answer)
                     {
                         readings.bytes += answer.bytes;
                         const auto asOf = answer.snapshot ? std::optional(asked) : std::nullopt;
                         step(
                             [&]
                             {
                                 if (answer.status == SourceStatus::Ok)
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
                      [this](const SourceAnswer& answer)
                      {
                          watches.bytes += answer.bytes;
                          step(
                              [&]
                              {
                                  if (answer.status == SourceStatus::Ok)
                                      replica.storeChanged(answer.items, answer.at, now());
                                  else if (answer.status == SourceStatus::HistoryLost)
                                      replica.historyLost(now());
                                  else
                                      failed(answer);
                              });
                      });
    }

    void failed(const SourceAnswer& answer)
    {
        if (!storeLost)
            log.write(ports::Level::Warning, "store-lost", {{"why", answer.why}, ageField()});
        storeLost = true;
        replica.storeFailed(now());
    }

    void perform(const replication::GiveUpStore&)
    {
        source->giveUp();
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

    void perform(const replication::Note& action)
    {
        if (action.value)
            log.write(ports::Level::Info, action.event, {{"subject", action.subject}, {"value", *action.value}});
        else
            log.write(ports::Level::Info, action.event, {{"subject", action.subject}, {"value", "never"}});
    }

    void apply(const std::vector<replication::Item>& changes, core::Duration oldAge)
    {
        const auto at = now();
        const bool ill = replica.storeIll(at, illWithin);
        if (replica.known() && replica.age(at) < oldAge)
            book.renewed(oldAge, at);
        bool changed = false;
        for (const replication::Item& item : changes)
        {
            if (translator.isDeployment(item.key))
                awaitDeployment(item, at);
            else if (translator.isInstance(item.key))
                changed = applyInstance(item, ill, oldAge, at) || changed;
            else if (const std::string dataCentre = translator.evacuatedDataCentre(item.key); !dataCentre.empty())
                changed = applyEvacuation(dataCentre, item) || changed;
            else if (QuarantineKeeper::isQuarantine(item.key))
                changed = applyQuarantine(item) || changed;
        }
        if (awaited && at >= readNext)
            changed = readAwaited() || changed;
        const auto due = book.nextDue();
        if (changed || (due && *due <= at))
        {
            book.settle(ill, at);
            publish(ill);
        }
        else if (replica.nodes(at) != toldNodes && at >= nodesNext)
        {
            nodesNext = at + nodesEvery;
            publish(ill);
        }
    }

    void awaitDeployment(const replication::Item& item, core::Timestamp at)
    {
        if (item.gone)
            return;
        if (!awaited)
            awaitedSince = at;
        awaited = item;
    }

    /// \brief Read the configuration that came last
    ///
    /// Reading a large one takes a small VM a good part of a second. Between two readings it has as long for
    /// everything else; of what comes meanwhile only the last is read.
    bool readAwaited()
    {
        const auto              begin = now();
        const replication::Item item = std::move(*awaited);
        awaited.reset();
        const bool changed = applyDeployment(item);
        const auto end = now();
        readNext = end + (end - begin);
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
        for (const std::string& word : read->unknownWords)
            log.write(ports::Level::Warning, "configuration-word-unknown",
                      {{"version", read->version}, {"word", word}, {"taken", "runs-once"}});
        deployment = std::make_shared<const deployment::Deployment>(std::move(*read));
        return true;
    }

    bool applyInstance(const replication::Item& item, bool ill, core::Duration oldAge, core::Timestamp at)
    {
        if (item.gone)
        {
            const std::string id = translator.instanceId(item.key);
            log.write(ports::Level::Info, "instance-vanished",
                      {{"instance", id}, {"revision", item.revision}, {"storeIll", ill ? 1 : 0}});
            // It may have vanished any time since the picture was last known to be the store's.
            book.vanished(id, at - oldAge);
            return true;
        }
        core::Findings findings;
        const auto     read = translator.announcement(item.key, item.value, findings);
        if (!read)
        {
            // It is another writer's, and names no server; a server of that name gets nothing more.
            ++rejectedEntries;
            log.write(ports::Level::Error, "instance-rejected",
                      {{"key", item.key}, {"revision", item.revision}, {"findings", findings.text()}});
            book.unreadable(translator.instanceId(item.key), at);
            return true;
        }
        if (!book.announced(*read))
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

    /// \brief Note that a data centre is evacuated or taken back
    ///
    /// The copy moves a key to higher revisions only, so no relay that lags brings an earlier word back.
    bool applyEvacuation(const std::string& dataCentre, const replication::Item& item)
    {
        const bool changed = item.gone ? evacuated.erase(dataCentre) > 0 : evacuated.insert(dataCentre).second;
        if (changed)
            log.write(ports::Level::Info, item.gone ? "data-centre-taken-back" : "data-centre-evacuated",
                      {{"dataCentre", dataCentre}, {"revision", item.revision}, ageField()});
        return changed;
    }

    void publish(bool ill)
    {
        toldNodes = replica.nodes(now());
        deployment::Declared declared;
        declared.deployment = deployment;
        deployment::InstanceChanges changes = book.takeChanges();
        declared.whole = !told;
        declared.instances = std::move(changes.present);
        declared.gone = std::move(changes.gone);
        told = true;
        declared.nodes = toldNodes;
        declared.suspect = ill;
        declared.evacuated = evacuated;
        declared.members = replica.members(now());
        declared.quarantines = quarantines.list();
        published(std::move(declared));
    }

    /// \brief Age of the copy; null when it was never known to be the store's
    [[nodiscard]] std::optional<double> ageMs() const
    {
        return replica.provedAt() ? std::optional(core::toMilliseconds(replica.age(now()))) : std::nullopt;
    }

    [[nodiscard]] ports::Field ageField() const
    {
        const auto age = ageMs();
        return age ? ports::Field("ageMs", *age) : ports::Field("ageMs", "never");
    }

    void refreshStatus()
    {
        const double age = ageMs().value_or(-1.0);
        if (storeLost && age >= 0 && age < 500)
        {
            storeLost = false;
            log.write(ports::Level::Info, "picture-regained", {ageField()});
        }
        const std::lock_guard<std::mutex> lock(mutex);
        proved = replica.provedAt();
        heard = replica.heardAt();
        if (proved && awaited)
            proved = std::min(*proved, awaitedSince);
        shown = {replica.table().at(),
                 deployment ? deployment->version : 0,
                 age,
                 toldNodes,
                 replica.followers(),
                 source->calls(),
                 replica.watching(),
                 readings,
                 watches,
                 start,
                 evacuated.size(),
                 rejectedEntries};
    }

    FleetSettings                                 settings;
    const Translator&                             translator;
    Published                                     published;
    HeardFailures                                 heardFailures; // Set on the loop
    HeardCrashes                                  heardCrashes;  // Set on the loop
    HeardLimits                                   heardLimits;   // Set on the loop
    ports::EventLog&                              log;
    asio::io_context                              context{1};
    asio::steady_timer                            timer;
    std::unique_ptr<replication::ItemSource>      source;
    replication::Replica                          replica;
    deployment::InstanceBook                      book;
    QuarantineKeeper                              quarantines;
    adapters::links::LinkHub                      hub;
    std::shared_ptr<const deployment::Deployment> deployment;
    std::set<std::string>                         evacuated; // Data centres
    std::uint64_t                                 rejectedEntries{0};
    StoreUse                                      readings; // Of all items
    StoreUse                                      watches;  // For changes
    StartStages                                   start{now(), {}, {}, {}};
    core::Timestamp                               armedFor{};
    bool                                          armed{false};
    bool                                          storeLost{false};
    bool                                          told{false}; // All instances, once; since then what changed
    unsigned                                      toldNodes{0};
    core::Timestamp                               nodesNext{}; // Their number alone is told not before
    mutable std::mutex                            mutex;
    FleetStatus                                   shown;
    std::optional<core::Timestamp>                proved;         // Routes were the operators' then
    std::optional<core::Timestamp>                heard;          // A relay or the store answered then
    std::optional<replication::Item>              awaited;        // A configuration that is not read yet
    core::Timestamp                               awaitedSince{}; // Since then the one in force is not the last
    core::Timestamp                               readNext{};     // Not before
    std::thread                                   thread;
};

////////////////////////////////////////////////////////////
FleetThread::FleetThread(FleetSettings settings, const MakeSource& makeSource, const Translator& translator,
                         Published published, ports::EventLog& log) :
m_impl(std::make_unique<Impl>(std::move(settings), makeSource, translator, std::move(published), log))
{
}

////////////////////////////////////////////////////////////
FleetThread::~FleetThread() = default;

////////////////////////////////////////////////////////////
std::optional<core::Timestamp> FleetThread::provedAt() const
{
    const std::lock_guard<std::mutex> lock(m_impl->mutex);
    return m_impl->proved;
}

////////////////////////////////////////////////////////////
std::optional<core::Timestamp> FleetThread::heardAt() const
{
    const std::lock_guard<std::mutex> lock(m_impl->mutex);
    return m_impl->heard;
}

////////////////////////////////////////////////////////////
void FleetThread::serversFailed(std::vector<std::uint32_t> servers)
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
void FleetThread::onFailures(HeardFailures heard)
{
    asio::post(m_impl->context, [this, heard = std::move(heard)] { m_impl->heardFailures = heard; });
}

////////////////////////////////////////////////////////////
void FleetThread::crashed(deployment::CrashNews news)
{
    asio::post(m_impl->context, [this, news = std::move(news)] { m_impl->step([&] { m_impl->sawCrashes(news); }); });
}

////////////////////////////////////////////////////////////
void FleetThread::onCrashes(HeardCrashes heard)
{
    asio::post(m_impl->context, [this, heard = std::move(heard)] { m_impl->heardCrashes = heard; });
}

////////////////////////////////////////////////////////////
void FleetThread::limited(std::vector<deployment::LimitNews> news)
{
    asio::post(m_impl->context, [this, news = std::move(news)] { m_impl->step([&] { m_impl->sawLimits(news); }); });
}

////////////////////////////////////////////////////////////
void FleetThread::onLimits(HeardLimits heard)
{
    asio::post(m_impl->context, [this, heard = std::move(heard)] { m_impl->heardLimits = heard; });
}

////////////////////////////////////////////////////////////
void FleetThread::quarantined(const deployment::Quarantine& quarantine)
{
    asio::post(m_impl->context,
               [this, quarantine] { m_impl->step([&] { m_impl->quarantines.concluded(quarantine, moment()); }); });
}

////////////////////////////////////////////////////////////
FleetStatus FleetThread::status() const
{
    const std::lock_guard<std::mutex> lock(m_impl->mutex);
    return m_impl->shown;
}

} // namespace sailpath::fleet
