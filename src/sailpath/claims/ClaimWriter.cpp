#include <sailpath/claims/ClaimWriter.hpp>

#include <sailpath/core/Hash.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <numeric>

namespace sailpath::claims
{
namespace
{
constexpr std::string_view claimPrefix = "/sailpath/claims/";
constexpr int              mostTries = 3;
constexpr std::uint64_t    secondSeed = 0x5a11'9a74; // Two hashes make 128 bits

} // namespace

////////////////////////////////////////////////////////////
std::string claimKey(std::string_view workspace, std::string_view service, std::string_view idempotencyKey)
{
    std::array<char, 33> digits{};
    std::snprintf(digits.data(), digits.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(core::hash(idempotencyKey)),
                  static_cast<unsigned long long>(core::hash(idempotencyKey, secondSeed)));
    std::string key(claimPrefix);
    key.append(workspace).append("/").append(service).append("/").append(digits.data());
    return key;
}

////////////////////////////////////////////////////////////
ClaimWriter::ClaimWriter(ports::Store& store, Clock clock) :
m_store(store),
m_clock(std::move(clock))
{
}

////////////////////////////////////////////////////////////
std::vector<ClaimVerdict> ClaimWriter::commit(std::span<const Claim> batch)
{
    std::vector<ClaimVerdict> verdicts(batch.size(), ClaimVerdict::Unavailable);
    std::vector<std::size_t>  open(batch.size());
    std::iota(open.begin(), open.end(), 0U);
    for (int i = 0; i < mostTries && !open.empty(); ++i)
    {
        if (!attempt(batch, open, verdicts))
            break;
    }
    return verdicts;
}

////////////////////////////////////////////////////////////
bool ClaimWriter::release(const Claim& claim)
{
    const ports::StoreStatus status = m_store.removeIf(claim.key, claim.token);
    return status == ports::StoreStatus::Ok || status == ports::StoreStatus::Conflict;
}

////////////////////////////////////////////////////////////
/// \brief One transaction for the claims without a verdict; false when there is no use in another
////////////////////////////////////////////////////////////
bool ClaimWriter::attempt(std::span<const Claim> batch, std::vector<std::size_t>& open,
                          std::vector<ClaimVerdict>& verdicts)
{
    std::vector<ports::ConditionalWrite> writes;
    for (const std::size_t index : open)
    {
        const std::int64_t lease = leaseFor(batch[index].window);
        if (lease == 0)
            return false;
        writes.push_back({batch[index].key, batch[index].token, 0, lease});
    }
    const ports::CreateAnswer answer = m_store.createAll(writes);
    if (answer.status == ports::StoreStatus::Ok)
    {
        for (const std::size_t index : open)
            verdicts[index] = ClaimVerdict::Granted;
        open.clear();
        return true;
    }
    if (answer.status == ports::StoreStatus::Unknown)
    {
        for (const std::size_t index : open)
            verdicts[index] = ClaimVerdict::Unresolved;
        resolve(batch, open, verdicts);
        std::erase_if(open, [&](std::size_t index) { return verdicts[index] != ClaimVerdict::Unresolved; });
        return true;
    }
    if (answer.status == ports::StoreStatus::Unavailable)
        return false;
    if (answer.existing.empty())
    {
        // No key stood in the way, so the lease did: it has ended.
        m_leases.clear();
        return true;
    }
    for (const ports::KeyValue& item : answer.existing)
    {
        const auto same =
            std::find_if(open.begin(), open.end(), [&](std::size_t index) { return batch[index].key == item.key; });
        if (same == open.end())
            continue;
        const bool ours = batch[*same].token == item.value;
        verdicts[*same] = ours ? ClaimVerdict::Granted : ClaimVerdict::Duplicate;
        open.erase(same);
    }
    return true;
}

////////////////////////////////////////////////////////////
void ClaimWriter::resolve(std::span<const Claim> batch, std::span<const std::size_t> open,
                          std::vector<ClaimVerdict>& verdicts)
{
    for (const std::size_t index : open)
    {
        const ports::ReadAnswer read = m_store.get(batch[index].key);
        if (read.status != ports::StoreStatus::Ok)
            return;
        if (read.items.empty())
            continue;
        const bool ours = read.items.front().value == batch[index].token;
        verdicts[index] = ours ? ClaimVerdict::Granted : ClaimVerdict::Duplicate;
    }
}

////////////////////////////////////////////////////////////
std::int64_t ClaimWriter::leaseFor(core::Duration window)
{
    Lease&                lease = m_leases[window];
    const core::Timestamp now = m_clock();
    if (lease.id != 0 && now < lease.renewAt)
        return lease.id;
    // Claims made just before the lease is replaced still live a whole window.
    const ports::LeaseGrant grant = m_store.grant(window + window / 2);
    if (grant.status != ports::StoreStatus::Ok)
        return 0;
    lease = {grant.lease, now + window / 2};
    return lease.id;
}

} // namespace sailpath::claims
