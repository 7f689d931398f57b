#include <sailpath/fleet/QuarantineKeeper.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace sailpath::fleet
{
namespace
{
constexpr std::string_view prefix = "sailpath/quarantine/";
constexpr std::size_t      maxStored = 1024; // Each entry follows from three servers that ended in the last ten minutes
constexpr std::size_t      maxValueBytes = 512;                    // Larger values are unreadable
constexpr auto             maxDuration = std::chrono::minutes{10}; // Upper bound, as nodes' wall clocks may differ
constexpr auto peerWriteDelay = std::chrono::milliseconds{1500};   // Time for the first node's entry to arrive
constexpr auto peerWriteJitter = std::chrono::seconds{2};          // Random part on top, drawn by each node
constexpr auto rewriteInterval = std::chrono::milliseconds{700};   // Until a write that had no effect is repeated
constexpr auto removalDelay = std::chrono::seconds{5}; // After the quarantine's end, as nodes' wall clocks may differ
constexpr auto removalJitter = std::chrono::seconds{60};

////////////////////////////////////////////////////////////
/// \brief Get the value of `NAME=VALUE` among words separated by spaces; empty when none has the name
////////////////////////////////////////////////////////////
std::string_view valueOf(std::string_view text, std::string_view name)
{
    while (!text.empty())
    {
        const auto             end = std::min(text.find(' '), text.size());
        const std::string_view word = text.substr(0, end);
        if (word.starts_with(name) && word.size() > name.size() && word[name.size()] == '=')
            return word.substr(name.size() + 1);
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return {};
}

////////////////////////////////////////////////////////////
template <typename Number>
bool readNumber(std::string_view text, Number& to)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), to);
    return !text.empty() && error == std::errc{} && end == text.data() + text.size();
}

} // namespace

////////////////////////////////////////////////////////////
QuarantineKeeper::QuarantineKeeper(std::string node, std::uint64_t seed) :
m_node(std::move(node)),
m_random(seed)
{
}

////////////////////////////////////////////////////////////
bool QuarantineKeeper::isQuarantineKey(std::string_view key)
{
    return key.starts_with(prefix);
}

////////////////////////////////////////////////////////////
std::string QuarantineKeeper::keyOf(const core::ContentHash& content)
{
    return std::string(prefix) + content.text();
}

////////////////////////////////////////////////////////////
core::Duration QuarantineKeeper::randomDelay(core::Duration maximum)
{
    return core::fromMilliseconds(core::toMilliseconds(maximum) * m_random.unit());
}

////////////////////////////////////////////////////////////
bool QuarantineKeeper::isCovered(const deployment::Quarantine& quarantine) const
{
    const auto found = m_stored.find(quarantine.content);
    if (found == m_stored.end())
        return false;
    const auto& caller = found->second.quarantine.caller;
    return !caller || caller == quarantine.caller;
}

////////////////////////////////////////////////////////////
void QuarantineKeeper::addConclusion(const deployment::Quarantine& quarantine, const Moment& at)
{
    if (quarantine.until <= at.now)
        return withdraw(quarantine.content, at);
    if (isCovered(quarantine))
        return;
    const bool           writesFirst = quarantine.source == "here";
    const core::Duration delay = writesFirst ? core::Duration{} : peerWriteDelay + randomDelay(peerWriteJitter);
    m_pending[quarantine.content] = {quarantine, at.now + delay};
}

////////////////////////////////////////////////////////////
void QuarantineKeeper::withdraw(const core::ContentHash& content, const Moment& at)
{
    m_pending.erase(content);
    const auto stored = m_stored.find(content);
    // All nodes withdraw a quarantine at about the same time. The first removes the entry, the others only if it stays.
    if (stored != m_stored.end())
        stored->second.removeAt = at.now + randomDelay(peerWriteDelay);
}

////////////////////////////////////////////////////////////
bool QuarantineKeeper::applyEntry(const replication::Item& item, const Moment& at)
{
    const auto content = core::ContentHash::fromText(std::string_view(item.key).substr(prefix.size()));
    if (!content)
        return false;
    if (item.gone)
    {
        m_stored.erase(*content);
        m_pending.erase(*content);
        return true;
    }
    deployment::Quarantine quarantine;
    quarantine.content = *content;
    const bool full = m_stored.size() >= maxStored && !m_stored.contains(*content);
    if (full || !decode(item, at, quarantine))
        return false;
    const core::Timestamp removeAt = quarantine.until + removalDelay + randomDelay(removalJitter);
    m_stored[*content] = {std::move(quarantine), item.revision, removeAt};
    const auto pending = m_pending.find(*content);
    if (pending != m_pending.end() && isCovered(pending->second.quarantine))
        m_pending.erase(pending);
    return true;
}

////////////////////////////////////////////////////////////
std::optional<replication::Item> QuarantineKeeper::nextWrite(const Moment& at)
{
    if (m_writing)
        return std::nullopt;
    std::erase_if(m_pending, [&](const auto& item) { return at.now >= item.second.quarantine.until; });
    for (auto& [content, pending] : m_pending)
    {
        if (at.now < pending.writeAt)
            continue;
        pending.writeAt = at.now + rewriteInterval + randomDelay(rewriteInterval);
        const auto stored = m_stored.find(content);
        m_writing = true;
        return replication::Item{keyOf(content), encode(pending.quarantine, at),
                                 stored == m_stored.end() ? 0 : stored->second.revision, false};
    }
    for (auto& [content, stored] : m_stored)
    {
        if (at.now < stored.removeAt)
            continue;
        stored.removeAt = at.now + removalJitter;
        m_writing = true;
        return replication::Item{keyOf(content), {}, stored.revision, true};
    }
    return std::nullopt;
}

////////////////////////////////////////////////////////////
void QuarantineKeeper::finishWrite(replication::WriteStatus)
{
    // The result does not matter: the copy of the store shows whether the write took effect.
    m_writing = false;
}

////////////////////////////////////////////////////////////
std::optional<core::Timestamp> QuarantineKeeper::nextDue() const
{
    std::optional<core::Timestamp> next;
    const auto keepEarlier = [&next](core::Timestamp at) { next = std::min(next.value_or(at), at); };
    for (const auto& [content, pending] : m_pending)
        keepEarlier(pending.writeAt);
    for (const auto& [content, stored] : m_stored)
        keepEarlier(stored.removeAt);
    return m_writing ? std::nullopt : next;
}

////////////////////////////////////////////////////////////
std::vector<deployment::Quarantine> QuarantineKeeper::list() const
{
    std::vector<deployment::Quarantine> quarantines;
    quarantines.reserve(m_stored.size());
    for (const auto& [content, stored] : m_stored)
        quarantines.push_back(stored.quarantine);
    return quarantines;
}

////////////////////////////////////////////////////////////
std::string QuarantineKeeper::encode(const deployment::Quarantine& quarantine, const Moment& at) const
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(quarantine.until - at.now).count();
    return "caller=" + (quarantine.caller ? std::to_string(*quarantine.caller) : std::string("any")) +
           " servers=" + std::to_string(quarantine.servers) + " untilMs=" + std::to_string(at.unixMs + left) +
           " by=" + m_node;
}

////////////////////////////////////////////////////////////
bool QuarantineKeeper::decode(const replication::Item& item, const Moment& at, deployment::Quarantine& to)
{
    if (item.value.size() > maxValueBytes)
        return false;
    const std::string_view caller = valueOf(item.value, "caller");
    std::uint32_t          callerHash = 0;
    std::int64_t           untilMs = 0;
    if (caller != "any" && !readNumber(caller, callerHash))
        return false;
    if (!readNumber(valueOf(item.value, "servers"), to.servers) || !readNumber(valueOf(item.value, "untilMs"), untilMs))
        return false;
    if (caller != "any")
        to.caller = callerHash;
    const auto left = std::chrono::milliseconds{std::clamp<std::int64_t>(
        untilMs - std::min(untilMs, at.unixMs), 0, std::chrono::milliseconds(maxDuration).count())};
    to.since = at.now;
    to.until = at.now + left;
    to.source = valueOf(item.value, "by");
    to.stored = true;
    return true;
}

} // namespace sailpath::fleet
