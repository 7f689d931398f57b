#include <sailpath/fleet/SnapshotKeeper.hpp>

#include <sailpath/snapshot/Difference.hpp>
#include <sailpath/snapshot/Text.hpp>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace sailpath::fleet
{
namespace
{
constexpr std::string_view snapshotKey = "sailpath/learned/1"; // A process of another version has an entry of its own
constexpr auto             minWriteInterval = std::chrono::seconds{20};
constexpr auto             minGrowthInterval = std::chrono::seconds{10}; // Until a value is added that the entry lacks
constexpr auto             minWriteSpread = std::chrono::seconds{10};
constexpr auto   writeSpreadPerNode = std::chrono::milliseconds{500}; // A write reaches all nodes in less time
constexpr auto   maxAge = std::chrono::minutes{10}; // Also into the future, as nodes' wall clocks may differ
constexpr double minDifference = 0.25;              // Relative change of a value that is worth a write

} // namespace

////////////////////////////////////////////////////////////
SnapshotKeeper::SnapshotKeeper(std::uint64_t seed) :
m_random(seed)
{
}

////////////////////////////////////////////////////////////
bool SnapshotKeeper::isSnapshotKey(std::string_view key)
{
    return key == snapshotKey;
}

////////////////////////////////////////////////////////////
void SnapshotKeeper::offer(snapshot::LearnedState learned, unsigned nodes, const Moment& at)
{
    m_learned = std::move(learned);
    const auto stored = current(at);
    if (m_learned.routes.empty() || (stored && !snapshot::differ(*stored, m_learned, minDifference)))
    {
        m_writeAt.reset();
        return;
    }
    if (m_writeAt)
        return;
    const core::Duration interval =
        stored && snapshot::lacks(*stored, m_learned) ? minGrowthInterval : minWriteInterval;
    const core::Timestamp earliest = std::max(at.now, m_heardAt ? *m_heardAt + interval : at.now);
    const core::Duration  spread = std::max<core::Duration>(minWriteSpread, writeSpreadPerNode * nodes);
    m_writeAt = earliest + core::fromMilliseconds(core::toMilliseconds(spread) * m_random.unit());
}

////////////////////////////////////////////////////////////
bool SnapshotKeeper::applyEntry(const replication::Item& item, const Moment& at)
{
    m_writeAt.reset();
    m_heardAt = at.now;
    m_revision = item.gone ? 0 : item.revision;
    m_stored.reset();
    if (item.gone)
        return true;
    if (auto state = snapshot::fromText(item.value))
        m_stored = std::make_shared<const snapshot::LearnedState>(std::move(*state));
    return m_stored != nullptr;
}

////////////////////////////////////////////////////////////
std::optional<replication::Item> SnapshotKeeper::nextWrite(const Moment& at)
{
    if (m_writing || !m_writeAt || at.now < *m_writeAt)
        return std::nullopt;
    m_writing = true;
    m_writeAt.reset();
    // Also after a write that had no effect, so that a store in trouble gets few calls.
    m_heardAt = at.now;
    snapshot::LearnedState state = m_stored ? snapshot::merge(*m_stored, m_learned) : m_learned;
    state.takenUnixMs = at.unixMs;
    return replication::Item{std::string(snapshotKey), snapshot::toText(state), m_revision, false};
}

////////////////////////////////////////////////////////////
void SnapshotKeeper::finishWrite()
{
    // The result does not matter: the copy of the store shows whether the write took effect.
    m_writing = false;
}

////////////////////////////////////////////////////////////
std::optional<core::Timestamp> SnapshotKeeper::nextDue() const
{
    return m_writing ? std::nullopt : m_writeAt;
}

////////////////////////////////////////////////////////////
std::shared_ptr<const snapshot::LearnedState> SnapshotKeeper::current(const Moment& at) const
{
    const auto old = age(at);
    return old && *old <= maxAge && *old >= -maxAge ? m_stored : nullptr;
}

////////////////////////////////////////////////////////////
std::optional<core::Duration> SnapshotKeeper::age(const Moment& at) const
{
    if (!m_stored)
        return std::nullopt;
    constexpr std::int64_t bound = 86'400'000; // Milliseconds; keeps the difference within range
    const std::int64_t     taken = std::clamp(m_stored->takenUnixMs, at.unixMs - bound, at.unixMs + bound);
    return std::chrono::milliseconds{at.unixMs - taken};
}

} // namespace sailpath::fleet
