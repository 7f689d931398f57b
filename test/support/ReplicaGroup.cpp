#include <support/ReplicaGroup.hpp>

#include <algorithm>
#include <utility>

namespace sailpath::support
{
namespace
{
using namespace std::chrono_literals;
using replication::Item;
using replication::LinkId;

constexpr core::Duration storeWay = 2ms;
constexpr core::Duration callPatience = 900ms;
constexpr core::Duration oldest = 3s; // Of a reading that may be old
constexpr std::size_t    seeds = 3;

// Of nodes whose links and processors take time; milliseconds are of a whole core. Measured on one with 805 entries and
// 863 routes, 282 KB: packed 24 KB in 1.0 ms, unpacked into a table in 0.9, an answer of the store of 417 KB read in 3.5,
// entries and configuration read in 6.8.
constexpr double base64Share = 4.0 / 3;
constexpr double storeItemBytes = 60; // Names and revisions of an item in an answer of the store
constexpr double packedShare = 0.1;   // Of the bytes of items
constexpr double messageBytes = 100;  // Of a message without items and nodes
constexpr double nodeBytes = 8;       // Of a node in a list
constexpr double messageMs = 0.05;    // To read or write a short message; assumed
constexpr double packMsPerByte = 1.0 / 280'000;
constexpr double unpackMsPerByte = 1.0 / 310'000;
constexpr double parseMsPerByte = 1.0 / 120'000; // Of the store's answers
constexpr double applyMsPerByte = 1.0 / 41'000;  // Of entries and configuration

} // namespace

////////////////////////////////////////////////////////////
ReplicaGroup::ReplicaGroup(std::size_t nodes, std::uint64_t seed, std::size_t dataCentres) :
m_random(seed),
m_dataCentres(dataCentres),
m_seed(seed),
m_nodes(nodes)
{
    for (std::size_t node = 0; node < nodes; ++node)
        start(node);
}

////////////////////////////////////////////////////////////
ReplicaGroup::ReplicaGroup(std::vector<Machine> machines, double storeBytesPerMs, std::uint64_t seed,
                           std::size_t dataCentres) :
m_random(seed),
m_dataCentres(dataCentres),
m_storeLink{storeBytesPerMs, {}},
m_seed(seed),
m_nodes(machines.size())
{
    for (std::size_t node = 0; node < machines.size(); ++node)
    {
        m_nodes[node].machine = machines[node];
        m_nodes[node].up.perMs = machines[node].linkBytesPerMs;
        m_nodes[node].down.perMs = machines[node].linkBytesPerMs;
    }
}

////////////////////////////////////////////////////////////
bool ReplicaGroup::timed() const
{
    return m_storeLink.perMs > 0;
}

////////////////////////////////////////////////////////////
double ReplicaGroup::storeBytes() const
{
    double bytes = 0;
    for (const auto& [key, item] : m_store)
        bytes += item.gone ? 0 : static_cast<double>(key.size() + item.value.size()) * base64Share + storeItemBytes;
    return bytes;
}

////////////////////////////////////////////////////////////
core::Timestamp ReplicaGroup::carry(Line& from, Line& to, double bytes)
{
    const core::Timestamp begin = std::max(m_now, from.free);
    from.free = begin + core::fromMilliseconds(bytes / from.perMs);
    to.free = std::max(begin, to.free) + core::fromMilliseconds(bytes / to.perMs);
    return std::max(from.free, to.free);
}

////////////////////////////////////////////////////////////
void ReplicaGroup::work(std::size_t index, double coreMs)
{
    Node& node = m_nodes[index];
    node.busy = std::max(node.busy, m_now) + core::fromMilliseconds(coreMs / node.machine.cores);
}

////////////////////////////////////////////////////////////
void ReplicaGroup::deliver(std::size_t index, std::uint64_t life, core::Timestamp time, double coreMs,
                           std::function<void()> what)
{
    if (!timed())
        return at(time, [this, index, life, what = std::move(what)] { toNode(index, life, what); });
    at(time,
       [this, index, life, coreMs, what = std::move(what)]
       {
           work(index, coreMs);
           at(m_nodes[index].busy, [this, index, life, what] { toNode(index, life, what); });
       });
}

////////////////////////////////////////////////////////////
std::vector<core::Duration> ReplicaGroup::startToUsable() const
{
    std::vector<core::Duration> times;
    for (const Node& node : m_nodes)
    {
        if (node.replica && node.usableAt)
            times.push_back(*node.usableAt - node.startedAt);
    }
    std::sort(times.begin(), times.end());
    return times;
}

////////////////////////////////////////////////////////////
std::string ReplicaGroup::addressOf(std::size_t node)
{
    return "10.0.0." + std::to_string(node + 1) + ":7000";
}

////////////////////////////////////////////////////////////
void ReplicaGroup::start(std::size_t index)
{
    Node& node = m_nodes[index];
    if (node.replica)
        return;
    ++node.life;
    node.seen.clear();
    node.checked = {};
    replication::ReplicaSettings settings;
    const std::uint32_t          capacity = timed() ? node.machine.capacity : 0;
    settings.self = {addressOf(index), "dc" + std::to_string(index % m_dataCentres), 0, capacity};
    for (std::size_t i = 0; i < std::min(seeds, m_nodes.size()); ++i)
        settings.seeds.push_back(addressOf(i));
    settings.seed = m_seed * 1000 + index;
    node.startedAt = m_now;
    node.usableAt.reset();
    node.packed.reset();
    node.busy = m_now;
    node.up.free = m_now;
    node.down.free = m_now;
    node.replica = std::make_unique<replication::Replica>(settings, m_now);
    act(index);
}

////////////////////////////////////////////////////////////
void ReplicaGroup::kill(std::size_t index)
{
    Node& node = m_nodes[index];
    if (!node.replica)
        return;
    node.replica.reset();
    ++node.life;
    const auto ends = std::exchange(node.ends, {});
    for (const auto& [link, far] : ends)
    {
        if (reach(index, far.first))
            breakLink(far.first, far.second);
        else
            m_nodes[far.first].ends.erase(far.second);
    }
    std::erase_if(m_watches, [index](const Watch& watch) { return watch.node == index; });
}

////////////////////////////////////////////////////////////
void ReplicaGroup::cut(std::size_t node, bool fromStore, bool fromPeers)
{
    m_nodes[node].cutStore = fromStore;
    m_nodes[node].cutPeers = fromPeers;
}

////////////////////////////////////////////////////////////
void ReplicaGroup::heal(std::size_t node)
{
    cut(node, false, false);
}

////////////////////////////////////////////////////////////
void ReplicaGroup::write(const std::string& key, const std::string& value)
{
    m_store[key] = {key, value, ++m_revision, false};
    note(m_store[key]);
    remember();
    answerWatches();
}

////////////////////////////////////////////////////////////
void ReplicaGroup::remove(const std::string& key)
{
    m_store[key] = {key, {}, ++m_revision, true};
    note(m_store[key]);
    remember();
    answerWatches();
}

////////////////////////////////////////////////////////////
void ReplicaGroup::note(const Item& change)
{
    m_history[change.key].push_back(change);
    m_changedAt[change.revision] = m_now;
}

////////////////////////////////////////////////////////////
void ReplicaGroup::checkFresh(std::size_t index)
{
    const replication::Replica& replica = *m_nodes[index].replica;
    if (replica.age(m_now) == core::Duration::max())
        return;
    // The first change that the copy does not have bounds how fresh it can be.
    const auto missed = m_changedAt.upper_bound(replica.table().revision());
    if (missed != m_changedAt.end())
        m_overstated = std::max(m_overstated, m_now - replica.age(m_now) - missed->second);
}

////////////////////////////////////////////////////////////
core::Duration ReplicaGroup::overstated() const
{
    return m_overstated;
}

////////////////////////////////////////////////////////////
void ReplicaGroup::slowStore(core::Duration most)
{
    m_storeBack = most;
}

////////////////////////////////////////////////////////////
void ReplicaGroup::slowLinks(core::Duration least, core::Duration most)
{
    m_leastWay = least;
    m_linkWay = most;
}

////////////////////////////////////////////////////////////
void ReplicaGroup::slowSender(std::size_t node)
{
    m_slowSenders.insert(node);
}

////////////////////////////////////////////////////////////
void ReplicaGroup::deafen(core::Duration time, bool jumps)
{
    m_deafUntil = m_now + time;
    m_deafJumps = jumps;
}

////////////////////////////////////////////////////////////
void ReplicaGroup::readInPages(core::Duration apart)
{
    m_apart = apart;
}

////////////////////////////////////////////////////////////
core::Duration ReplicaGroup::storeBack()
{
    if (m_storeBack.count() == 0)
        return storeWay;
    return storeWay + core::Duration(m_random.below(static_cast<std::uint64_t>(m_storeBack.count())));
}

////////////////////////////////////////////////////////////
void ReplicaGroup::readPages(std::size_t index, std::uint64_t life)
{
    // Every second key comes with the second page, which is of a later moment.
    const auto page = [this](std::size_t rest, std::vector<Item>& items)
    {
        for (const auto& [key, item] : m_store)
        {
            if (!item.gone && std::hash<std::string>{}(key) % 2 == rest)
                items.push_back(item);
        }
    };
    std::vector<Item> first;
    page(0, first);
    at(m_now + m_apart,
       [this, index, life, page, items = std::move(first), revision = m_revision]() mutable
       {
           page(1, items);
           at(m_now + storeWay, [this, index, life, items, revision, upTo = m_revision]
              { toNode(index, life, [&] { m_nodes[index].replica->storeRead(items, revision, {}, m_now, upTo); }); });
       });
}

////////////////////////////////////////////////////////////
void ReplicaGroup::checkComplete(std::size_t index)
{
    const replication::ItemTable& table = m_nodes[index].replica->table();
    // What the store changes later is newer than the copy; an unchanged one is as complete as it was.
    const std::pair               checked{table.revision(), table.sequence()};
    if (std::exchange(m_nodes[index].checked, checked) == checked)
        return;
    std::map<std::string, std::uint64_t> held;
    for (const Item& item : table.all())
        held[item.key] = item.revision;
    for (const auto& [key, changes] : m_history)
    {
        const auto next = std::find_if(changes.begin(), changes.end(),
                                       [&](const Item& change) { return change.revision > table.revision(); });
        if (next == changes.begin() || !m_incomplete.empty())
            continue;
        const Item& last = *std::prev(next);
        const auto  found = held.find(key);
        const bool  lacks = found == held.end() ? !last.gone && next == changes.end() : found->second < last.revision;
        if (lacks)
            m_incomplete = "node " + std::to_string(index) + " as of " + std::to_string(table.revision()) + " has " +
                           key + " of " + (found == held.end() ? "nothing" : std::to_string(found->second)) +
                           ", changed at " + std::to_string(last.revision) + (last.gone ? " (removed)" : "");
    }
}

////////////////////////////////////////////////////////////
void ReplicaGroup::remember()
{
    m_past.push_back({m_now, m_revision, m_store});
    while (m_past.size() > 1 && m_past[1].since < m_now - oldest)
        m_past.pop_front();
}

////////////////////////////////////////////////////////////
ReplicaGroup::Past ReplicaGroup::asOf(core::Timestamp time) const
{
    const auto after = std::find_if(m_past.begin(), m_past.end(), [&](const Past& past) { return past.since > time; });
    return after == m_past.begin() ? Past{{}, 1, {}} : *std::prev(after);
}

////////////////////////////////////////////////////////////
void ReplicaGroup::compact()
{
    m_compacted = m_revision;
    std::erase_if(m_store, [](const auto& item) { return item.second.gone; });
}

////////////////////////////////////////////////////////////
void ReplicaGroup::setStore(StoreMode mode)
{
    m_mode = mode;
}

////////////////////////////////////////////////////////////
void ReplicaGroup::turnAway(std::size_t node, StoreMode mode)
{
    m_nodes[node].store = mode;
}

////////////////////////////////////////////////////////////
void ReplicaGroup::serverFailed(std::size_t node, std::uint32_t server)
{
    m_nodes[node].replica->serverFailed(server, m_now);
    act(node);
}

////////////////////////////////////////////////////////////
void ReplicaGroup::serverEnded(std::size_t node, std::uint32_t server)
{
    replication::EndRecord record;
    record.server = server;
    m_nodes[node].replica->serverEnded(record, m_now, m_now);
    act(node);
}

////////////////////////////////////////////////////////////
std::size_t ReplicaGroup::heardOfEnds(std::size_t node, std::uint32_t server) const
{
    const auto found = m_nodes[node].serverEnds.find(server);
    return found == m_nodes[node].serverEnds.end() ? 0 : found->second;
}

////////////////////////////////////////////////////////////
std::size_t ReplicaGroup::heardOfFailures(std::size_t node, std::uint32_t server) const
{
    const auto found = m_nodes[node].failures.find(server);
    return found == m_nodes[node].failures.end() ? 0 : found->second;
}

////////////////////////////////////////////////////////////
void ReplicaGroup::pass(core::Duration time)
{
    const core::Timestamp until = m_now + time;
    while (true)
    {
        core::Timestamp next = until;
        for (const Node& node : m_nodes)
        {
            if (node.replica)
                next = std::min(next, std::max(node.tickAt, m_now));
        }
        if (!m_queue.empty())
            next = std::min(next, m_queue.begin()->first);
        for (const Watch& watch : m_watches)
            next = std::min(next, std::max(watch.until, m_now));
        if (next >= until)
            break;
        m_now = next;
        while (!m_queue.empty() && m_queue.begin()->first <= m_now)
        {
            const auto work = std::move(m_queue.begin()->second);
            m_queue.erase(m_queue.begin());
            work();
        }
        answerWatches();
        for (std::size_t index = 0; index < m_nodes.size(); ++index)
        {
            Node& node = m_nodes[index];
            if (!node.replica || node.tickAt > m_now)
                continue;
            node.replica->tick(m_now);
            act(index);
        }
    }
    m_now = until;
}

////////////////////////////////////////////////////////////
void ReplicaGroup::act(std::size_t index)
{
    Node& node = m_nodes[index];
    for (auto actions = node.replica->takeActions(); !actions.empty(); actions = node.replica->takeActions())
    {
        for (const auto& action : actions)
            perform(index, action);
    }
    for (const replication::ServerReport& report : node.replica->takeNews())
    {
        for (const std::uint32_t server : report.servers)
            ++node.failures[server];
        for (const replication::EndRecord& end : report.ends)
            ++node.serverEnds[end.server];
    }
    const std::vector<Item> changes = node.replica->takeChanges();
    if (timed() && node.replica->usable(m_now) && !node.usableAt)
    {
        double bytes = 0;
        for (const auto& item : changes)
            bytes += static_cast<double>(item.value.size());
        work(index, bytes * applyMsPerByte);
        node.usableAt = node.busy;
    }
    for (const Item& item : changes)
    {
        std::uint64_t& seen = node.seen[item.key];
        m_wentBack = m_wentBack || item.revision < seen;
        seen = item.revision;
    }
    node.tickAt = node.replica->nextDue();
    if (m_incomplete.empty())
        checkComplete(index);
    checkFresh(index);
}

////////////////////////////////////////////////////////////
void ReplicaGroup::at(core::Timestamp time, std::function<void()> work)
{
    m_queue.emplace(time, std::move(work));
}

////////////////////////////////////////////////////////////
void ReplicaGroup::toNode(std::size_t index, std::uint64_t life, const std::function<void()>& work)
{
    Node& node = m_nodes[index];
    if (!node.replica || node.life != life)
        return;
    work();
    act(index);
}

////////////////////////////////////////////////////////////
bool ReplicaGroup::reach(std::size_t from, std::size_t to) const
{
    return !m_nodes[from].cutPeers && !m_nodes[to].cutPeers;
}

////////////////////////////////////////////////////////////
void ReplicaGroup::storeCall(std::size_t index, std::function<void()> work)
{
    ++m_calls;
    ++m_nodes[index].calls;
    const std::uint64_t life = m_nodes[index].life;
    at(m_now + storeWay,
       [this, index, life, work = std::move(work)]
       {
           Node&      node = m_nodes[index];
           const auto mode = m_mode == StoreMode::Well ? node.store : m_mode;
           if (node.cutStore || mode == StoreMode::Silent)
               return at(m_now + callPatience, [this, index, life]
                         { toNode(index, life, [&] { m_nodes[index].replica->storeFailed(m_now); }); });
           if (mode == StoreMode::Refuse)
               return at(m_now + storeWay, [this, index, life]
                         { toNode(index, life, [&] { m_nodes[index].replica->storeFailed(m_now); }); });
           if (node.life == life && node.replica)
               work();
       });
}

////////////////////////////////////////////////////////////
std::vector<Item> ReplicaGroup::since(std::uint64_t revision) const
{
    std::vector<Item> items;
    if (revision >= m_revision)
        return items;
    for (const auto& [key, item] : m_store)
    {
        if (item.revision > revision)
            items.push_back(item);
    }
    return items;
}

////////////////////////////////////////////////////////////
void ReplicaGroup::answerWatches()
{
    std::vector<Watch> left;
    for (const Watch& watch : std::exchange(m_watches, {}))
    {
        const Node& node = m_nodes[watch.node];
        const auto  mode = m_mode == StoreMode::Well ? node.store : m_mode;
        const auto  life = watch.life;
        const auto  index = watch.node;
        if (node.cutStore || mode != StoreMode::Well)
        {
            at(m_now + callPatience,
               [this, index, life] { toNode(index, life, [&] { m_nodes[index].replica->storeFailed(m_now); }); });
            continue;
        }
        if (watch.after < m_compacted)
        {
            at(m_now + storeWay,
               [this, index, life] { toNode(index, life, [&] { m_nodes[index].replica->historyLost(m_now); }); });
            continue;
        }
        const bool deaf = m_now < m_deafUntil;
        auto       items = deaf ? std::vector<Item>{} : since(watch.after);
        if (items.empty() && m_now < watch.until)
        {
            left.push_back(watch);
            continue;
        }
        at(m_now + storeBack(),
           [this, index, life, items = std::move(items), revision = deaf && !m_deafJumps ? watch.after : m_revision]
           { toNode(index, life, [&] { m_nodes[index].replica->storeChanged(items, revision, m_now); }); });
    }
    for (Watch& watch : left)
        m_watches.push_back(watch);
}

////////////////////////////////////////////////////////////
void ReplicaGroup::breakLink(std::size_t index, LinkId link)
{
    m_nodes[index].ends.erase(link);
    const std::uint64_t life = m_nodes[index].life;
    at(m_now + storeWay,
       [this, index, link, life] { toNode(index, life, [&] { m_nodes[index].replica->linkClosed(link, m_now); }); });
}

////////////////////////////////////////////////////////////
core::Timestamp ReplicaGroup::sendTimed(std::size_t from, std::size_t to, const replication::SendUpdate* update,
                                        double& cost)
{
    const auto sizeOf = [](const std::vector<Item>& items)
    {
        double bytes = 0;
        for (const Item& item : items)
            bytes += static_cast<double>(item.key.size() + item.value.size());
        return bytes;
    };
    Node&  sender = m_nodes[from];
    double bytes = messageBytes;
    cost = messageMs;
    if (update != nullptr)
    {
        const auto&  whole = update->update.sharedItems;
        const double items = sizeOf(update->update.items) + (whole ? sizeOf(*whole) : 0);
        bytes += items * packedShare + static_cast<double>(update->update.nodes.size()) * nodeBytes;
        // A whole copy is packed once for all who need it.
        if (whole == nullptr || whole != sender.packed)
            work(from, items * packMsPerByte);
        sender.packed = whole ? whole : sender.packed;
        cost += items * unpackMsPerByte;
    }
    work(from, messageMs);
    // The message leaves once it is written.
    sender.up.free = std::max(sender.up.free, sender.busy);
    return carry(sender.up, m_nodes[to].down, bytes);
}

////////////////////////////////////////////////////////////
void ReplicaGroup::perform(std::size_t index, const replication::ReplicaAction& action)
{
    const std::uint64_t  life = m_nodes[index].life;
    const core::Duration way = 1ms + core::Duration(m_random.below(2000));
    if (const auto* read = std::get_if<replication::ReadStore>(&action))
    {
        std::optional<core::Timestamp> asked;
        core::Duration                 lag{};
        if (read->how == replication::ReadMode::Latest)
            asked = m_now;
        else
            lag = core::Duration(m_random.below(static_cast<std::uint64_t>(oldest.count())));
        m_oldReads += asked ? 0 : 1;
        const std::uint64_t givenUp = m_nodes[index].givenUp;
        storeCall(index,
                  [this, index, life, asked, lag, givenUp]
                  {
                      if (m_nodes[index].givenUp != givenUp)
                          return;
                      if (asked && m_apart.count() > 0)
                          return readPages(index, life);
                      const Past        past = asked ? Past{m_now, m_revision, m_store} : asOf(m_now - lag);
                      std::vector<Item> items;
                      std::uint64_t     newest = 0;
                      for (const auto& [key, item] : past.items)
                      {
                          if (item.gone)
                              continue;
                          items.push_back(item);
                          newest = std::max(newest, item.revision);
                      }
                      // Of a reading that may be old only the latest revision among its items is known.
                      const std::uint64_t   revision = asked ? past.revision : newest;
                      const double          bytes = timed() ? storeBytes() : 0;
                      const core::Timestamp come = timed() ? carry(m_storeLink, m_nodes[index].down, bytes) : m_now;
                      if (timed())
                          m_nodes[index].reading = core::fromMilliseconds(bytes / m_storeLink.perMs);
                      deliver(index, life, come + storeBack(), bytes * parseMsPerByte,
                              [this, index, asked, items, revision, upTo = past.revision, givenUp]
                              {
                                  if (m_nodes[index].givenUp == givenUp)
                                      m_nodes[index].replica->storeRead(items, revision, asked, m_now, upTo);
                              });
                  });
    }
    else if (const auto* watch = std::get_if<replication::WatchStore>(&action))
    {
        storeCall(index,
                  [this, index, life, after = watch->after, wait = watch->wait]
                  {
                      m_watches.push_back({index, life, after, m_now + wait});
                      answerWatches();
                  });
    }
    else if (std::get_if<replication::GiveUpStore>(&action) != nullptr)
    {
        Node& node = m_nodes[index];
        ++node.givenUp;
        // What was not sent yet leaves the links to others.
        m_storeLink.free = std::max(m_now, m_storeLink.free - node.reading);
        node.reading = {};
        node.down.free = m_now;
    }
    else if (const auto* open = std::get_if<replication::OpenLink>(&action))
    {
        at(m_now + way,
           [this, index, life, link = open->link, address = open->address]
           {
               std::size_t far = 0;
               while (far < m_nodes.size() && addressOf(far) != address)
                   ++far;
               Node& node = m_nodes[index];
               if (!node.replica || node.life != life || far == m_nodes.size() || !reach(index, far))
                   return;
               if (!m_nodes[far].replica)
                   return breakLink(index, link);
               const LinkId accepted = m_nextAccepted;
               m_nextAccepted += 2;
               node.ends[link] = {far, accepted};
               m_nodes[far].ends[accepted] = {index, link};
               toNode(index, life, [&] { node.replica->linkOpened(link, m_now); });
           });
    }
    else if (const auto* close = std::get_if<replication::CloseLink>(&action))
    {
        const auto end = m_nodes[index].ends.find(close->link);
        if (end == m_nodes[index].ends.end())
            return;
        const auto far = end->second;
        m_nodes[index].ends.erase(end);
        if (reach(index, far.first))
            breakLink(far.first, far.second);
    }
    else if (std::get_if<replication::Note>(&action) == nullptr)
    {
        const auto* hello = std::get_if<replication::SendHello>(&action);
        const auto* update = std::get_if<replication::SendUpdate>(&action);
        const auto* report = std::get_if<replication::SendReport>(&action);
        const auto  linkId = hello != nullptr ? hello->link : report != nullptr ? report->link : update->link;
        const auto  end = m_nodes[index].ends.find(linkId);
        if (end == m_nodes[index].ends.end())
            return;
        const auto far = end->second;
        if (update != nullptr && index % m_dataCentres != far.first % m_dataCentres)
            m_itemsAcross +=
                update->update.sharedItems ? update->update.sharedItems->size() : update->update.items.size();
        const std::uint64_t farLife = m_nodes[far.first].life;
        const auto          message = action;
        core::Timestamp     arrives = m_now + way;
        if (m_linkWay.count() > 0 && (m_slowSenders.empty() || m_slowSenders.count(index) > 0))
        {
            core::Timestamp& last = m_lastOn[far];
            arrives = m_now + m_leastWay +
                      core::Duration(m_random.below(1 + static_cast<std::uint64_t>((m_linkWay - m_leastWay).count())));
            arrives = std::max(arrives, last + 1ms);
            last = arrives;
        }
        double cost = 0;
        if (timed())
            arrives = sendTimed(index, far.first, update, cost) + way;
        deliver(far.first, farLife, arrives, cost,
                [this, index, far, message]
                {
                    if (!reach(index, far.first))
                        return;
                    auto& replica = *m_nodes[far.first].replica;
                    if (const auto* said = std::get_if<replication::SendHello>(&message))
                        replica.helloReceived(far.second, said->hello, m_now);
                    else if (const auto* told = std::get_if<replication::SendReport>(&message))
                        replica.reportReceived(far.second, told->report, m_now);
                    else
                        replica.updateReceived(far.second, std::get<replication::SendUpdate>(message).update, m_now);
                });
    }
}

////////////////////////////////////////////////////////////
bool ReplicaGroup::running(std::size_t node) const
{
    return m_nodes[node].replica != nullptr;
}

////////////////////////////////////////////////////////////
const replication::Replica& ReplicaGroup::replica(std::size_t node) const
{
    return *m_nodes[node].replica;
}

////////////////////////////////////////////////////////////
std::string ReplicaGroup::valueAt(std::size_t node, const std::string& key) const
{
    for (const Item& item : m_nodes[node].replica->table().all())
    {
        if (item.key == key)
            return item.value;
    }
    return {};
}

////////////////////////////////////////////////////////////
std::string ReplicaGroup::value(const std::string& key) const
{
    const auto found = m_store.find(key);
    return found == m_store.end() ? std::string() : found->second.value;
}

////////////////////////////////////////////////////////////
std::uint64_t ReplicaGroup::calls() const
{
    return m_calls;
}

////////////////////////////////////////////////////////////
std::uint64_t ReplicaGroup::callsOf(std::size_t node) const
{
    return m_nodes[node].calls;
}

////////////////////////////////////////////////////////////
std::uint64_t ReplicaGroup::oldReads() const
{
    return m_oldReads;
}

////////////////////////////////////////////////////////////
std::size_t ReplicaGroup::watchers() const
{
    return static_cast<std::size_t>(std::count_if(
        m_nodes.begin(), m_nodes.end(), [](const Node& node) { return node.replica && node.replica->watching(); }));
}

////////////////////////////////////////////////////////////
std::uint64_t ReplicaGroup::itemsAcross() const
{
    return m_itemsAcross;
}

////////////////////////////////////////////////////////////
bool ReplicaGroup::wentBack() const
{
    return m_wentBack;
}

////////////////////////////////////////////////////////////
std::string ReplicaGroup::incomplete() const
{
    return m_incomplete;
}

////////////////////////////////////////////////////////////
core::Timestamp ReplicaGroup::now() const
{
    return m_now;
}

} // namespace sailpath::support
