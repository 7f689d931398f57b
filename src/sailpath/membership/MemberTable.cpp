#include <sailpath/membership/MemberTable.hpp>

#include <algorithm>
#include <cmath>

namespace sailpath::membership
{
namespace
{
////////////////////////////////////////////////////////////
template <typename Items>
void shuffle(Items& items, core::Random& random)
{
    for (std::size_t i = items.size(); i > 1; --i)
        std::swap(items[i - 1], items[random.below(i)]);
}

////////////////////////////////////////////////////////////
bool isContactable(const Member& member)
{
    return member.status == MemberStatus::Alive || member.status == MemberStatus::Suspect;
}

} // namespace

////////////////////////////////////////////////////////////
MemberTable::MemberTable(Member self, MembershipSettings settings) :
m_self(std::move(self)),
m_settings(settings)
{
    m_entries[m_self.name] = {m_self, {}, 0};
}

////////////////////////////////////////////////////////////
void MemberTable::merge(std::span<const Member> claims, core::Timestamp now)
{
    for (const Member& claim : claims)
    {
        if (claim.name != m_self.name)
            applyClaim(claim, now);
        else if (supersedes(claim, m_self) && claim.status != MemberStatus::Alive)
            refute(claim.incarnation, now);
    }
}

////////////////////////////////////////////////////////////
void MemberTable::addListed(const Member& listed, core::Timestamp now)
{
    if (listed.name == m_self.name || m_entries.find(listed.name) != m_entries.end())
        return;
    Member unconfirmed = listed;
    unconfirmed.incarnation = 0;
    unconfirmed.status = MemberStatus::Alive;
    applyClaim(unconfirmed, now);
}

////////////////////////////////////////////////////////////
bool MemberTable::recordContact(const Member& peer, core::Timestamp now)
{
    if (peer.name == m_self.name)
        return false;
    applyClaim(peer, now);
    const auto found = m_entries.find(peer.name);
    if (found == m_entries.end() || peer.status != MemberStatus::Alive ||
        found->second.member.status == MemberStatus::Alive)
        return false;
    // The member is alive, but only the member itself can refute the claim: other members have received it too.
    found->second.sendCount = 0;
    return true;
}

////////////////////////////////////////////////////////////
void MemberTable::recordUnreachable(std::string_view name, core::Timestamp now)
{
    const auto found = m_entries.find(name);
    if (found == m_entries.end() || found->second.member.status != MemberStatus::Alive)
        return;
    Member claim = found->second.member;
    claim.status = MemberStatus::Suspect;
    applyClaim(claim, now);
}

////////////////////////////////////////////////////////////
void MemberTable::leave(core::Timestamp now)
{
    ++m_self.incarnation;
    m_self.status = MemberStatus::Leaving;
    m_entries[m_self.name] = {m_self, now, 0};
    ++m_version;
}

////////////////////////////////////////////////////////////
void MemberTable::tick(core::Timestamp now)
{
    std::vector<std::string> expired;
    for (auto& [name, entry] : m_entries)
    {
        const core::Duration age = now - entry.since;
        const bool           expires = entry.member.status == MemberStatus::Suspect ||
                             (entry.member.status == MemberStatus::Leaving && name != m_self.name);
        if (expires && age > m_settings.suspicionTimeout)
        {
            entry.member.status = MemberStatus::Dead;
            entry.since = now;
            entry.sendCount = 0;
            ++m_version;
        }
        else if (entry.member.status == MemberStatus::Dead && age > m_settings.deadRetention)
            expired.push_back(name);
    }
    for (const std::string& name : expired)
    {
        m_entries.erase(name);
        ++m_version;
    }
}

////////////////////////////////////////////////////////////
std::optional<Member> MemberTable::nextPeer(core::Random& random, core::Timestamp now)
{
    if (now >= m_nextDeadRetry)
    {
        // After a network partition each side counts the other as dead; only contacting dead members reunites them.
        m_nextDeadRetry = now + m_settings.deadRetryInterval;
        std::vector<const Member*> dead;
        for (const auto& item : m_entries)
        {
            if (item.second.member.status == MemberStatus::Dead)
                dead.push_back(&item.second.member);
        }
        if (!dead.empty())
            return *dead[random.below(dead.size())];
    }
    if (m_uncontacted.empty())
    {
        for (const auto& [name, entry] : m_entries)
        {
            if (name != m_self.name && isContactable(entry.member))
                m_uncontacted.push_back(name);
        }
        std::sort(m_uncontacted.begin(), m_uncontacted.end());
        shuffle(m_uncontacted, random);
    }
    while (!m_uncontacted.empty())
    {
        const std::string name = std::move(m_uncontacted.back());
        m_uncontacted.pop_back();
        const auto found = m_entries.find(name);
        if (found != m_entries.end() && isContactable(found->second.member))
            return found->second.member;
    }
    return std::nullopt;
}

////////////////////////////////////////////////////////////
std::vector<Member> MemberTable::randomPeers(std::size_t count, core::Random& random) const
{
    std::vector<Member> peers;
    for (const auto& [name, entry] : m_entries)
    {
        if (name != m_self.name && entry.member.status == MemberStatus::Alive)
            peers.push_back(entry.member);
    }
    std::sort(peers.begin(), peers.end(), [](const Member& a, const Member& b) { return a.name < b.name; });
    shuffle(peers, random);
    if (peers.size() > count)
        peers.resize(count);
    return peers;
}

////////////////////////////////////////////////////////////
std::vector<Member> MemberTable::claimsToSend(std::size_t maxCount)
{
    std::vector<Entry*> pending;
    for (auto& item : m_entries)
    {
        if (item.second.sendCount < sendLimit())
            pending.push_back(&item.second);
    }
    std::sort(pending.begin(), pending.end(),
              [](const Entry* a, const Entry* b)
              { return a->sendCount != b->sendCount ? a->sendCount < b->sendCount : a->member.name < b->member.name; });
    std::vector<Member> claims;
    for (std::size_t i = 0; i < pending.size() && i < maxCount; ++i)
    {
        ++pending[i]->sendCount;
        claims.push_back(pending[i]->member);
    }
    return claims;
}

////////////////////////////////////////////////////////////
std::vector<std::string_view> MemberTable::aliveNames() const
{
    std::vector<std::string_view> names;
    for (const auto& [name, entry] : m_entries)
    {
        if (entry.member.status == MemberStatus::Alive)
            names.push_back(name);
    }
    return names;
}

////////////////////////////////////////////////////////////
std::vector<Member> MemberTable::all() const
{
    std::vector<Member> members;
    members.reserve(m_entries.size());
    for (const auto& item : m_entries)
        members.push_back(item.second.member);
    std::sort(members.begin(), members.end(), [](const Member& a, const Member& b) { return a.name < b.name; });
    return members;
}

////////////////////////////////////////////////////////////
std::optional<Member> MemberTable::find(std::string_view name) const
{
    const auto found = m_entries.find(name);
    if (found == m_entries.end())
        return std::nullopt;
    return found->second.member;
}

////////////////////////////////////////////////////////////
const Member& MemberTable::self() const
{
    return m_self;
}

////////////////////////////////////////////////////////////
std::uint64_t MemberTable::version() const
{
    return m_version;
}

////////////////////////////////////////////////////////////
void MemberTable::applyClaim(const Member& claim, core::Timestamp now)
{
    const auto found = m_entries.find(claim.name);
    if (found == m_entries.end())
    {
        // A claim that an unknown member is dead changes nothing.
        if (claim.status != MemberStatus::Dead)
        {
            m_entries[claim.name] = {claim, now, 0};
            ++m_version;
        }
        return;
    }
    if (!supersedes(claim, found->second.member))
        return;
    m_version += claim.status != found->second.member.status ? 1 : 0;
    found->second = {claim, now, 0};
}

////////////////////////////////////////////////////////////
void MemberTable::refute(std::uint64_t incarnation, core::Timestamp now)
{
    m_self.incarnation = incarnation + 1;
    m_entries[m_self.name] = {m_self, now, 0};
    ++m_version;
}

////////////////////////////////////////////////////////////
unsigned MemberTable::sendLimit() const
{
    return static_cast<unsigned>(
        std::ceil(m_settings.sendFactor * std::log2(static_cast<double>(m_entries.size()) + 1.0)));
}

} // namespace sailpath::membership
