#include <sailpath/snapshot/Difference.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <string_view>
#include <utility>

namespace sailpath::snapshot
{
namespace
{
////////////////////////////////////////////////////////////
std::pair<std::string_view, std::string_view> keyOf(const LearnedRoute& route)
{
    return {route.service, route.route};
}

////////////////////////////////////////////////////////////
std::string_view keyOf(const LearnedService& service)
{
    return service.service;
}

////////////////////////////////////////////////////////////
std::uint32_t keyOf(const QuotaUse& quota)
{
    return quota.workspace;
}

////////////////////////////////////////////////////////////
bool differs(double stored, double learned, double relative)
{
    return std::abs(stored - learned) > relative * stored;
}

////////////////////////////////////////////////////////////
/// \brief Like `differs`, for a value that is 0 if unknown
////////////////////////////////////////////////////////////
bool knownDiffers(double stored, double learned, double relative)
{
    return learned > 0 && differs(stored, learned, relative);
}

////////////////////////////////////////////////////////////
bool differs(const LearnedRoute& stored, const LearnedRoute& learned, double relative)
{
    return differs(stored.workMs, learned.workMs, relative) ||
           knownDiffers(stored.callerTimeMs, learned.callerTimeMs, relative);
}

////////////////////////////////////////////////////////////
bool differs(const LearnedService& stored, const LearnedService& learned, double relative)
{
    return differs(stored.slowdown, learned.slowdown, relative) ||
           differs(stored.crowdedSlowdown, learned.crowdedSlowdown, relative) ||
           knownDiffers(stored.bestLoad, learned.bestLoad, relative);
}

////////////////////////////////////////////////////////////
void keepKnown(LearnedRoute& to, const LearnedRoute& from)
{
    if (to.callerTimeMs <= 0)
        to.callerTimeMs = from.callerTimeMs;
}

////////////////////////////////////////////////////////////
void keepKnown(LearnedService& to, const LearnedService& from)
{
    if (to.bestLoad <= 0)
        to.bestLoad = from.bestLoad;
}

////////////////////////////////////////////////////////////
void keepKnown(QuotaUse&, const QuotaUse&)
{
}

////////////////////////////////////////////////////////////
template <typename Entry>
bool anyDiffers(const std::vector<Entry>& stored, const std::vector<Entry>& learned, double relative)
{
    std::map<decltype(keyOf(stored.front())), const Entry*> known;
    for (const Entry& entry : stored)
        known.emplace(keyOf(entry), &entry);
    const auto isNews = [&](const Entry& entry)
    {
        const auto found = known.find(keyOf(entry));
        return found == known.end() || differs(*found->second, entry, relative);
    };
    return std::any_of(learned.begin(), learned.end(), isNews);
}

////////////////////////////////////////////////////////////
template <typename Entry>
std::vector<Entry> merged(const std::vector<Entry>& stored, std::vector<Entry> learned)
{
    std::map<decltype(keyOf(stored.front())), const Entry*> known;
    for (const Entry& entry : stored)
        known.emplace(keyOf(entry), &entry);
    for (Entry& entry : learned)
    {
        const auto found = known.find(keyOf(entry));
        if (found == known.end())
            continue;
        keepKnown(entry, *found->second);
        known.erase(found);
    }
    for (const auto& [key, entry] : known)
        learned.push_back(*entry);
    return learned;
}

} // namespace

////////////////////////////////////////////////////////////
bool differ(const LearnedState& stored, const LearnedState& learned, double relative)
{
    return anyDiffers(stored.routes, learned.routes, relative) ||
           anyDiffers(stored.services, learned.services, relative);
}

////////////////////////////////////////////////////////////
bool lacks(const LearnedState& stored, const LearnedState& learned)
{
    // No known value differs by so much.
    return differ(stored, learned, std::numeric_limits<double>::max());
}

////////////////////////////////////////////////////////////
LearnedState merge(const LearnedState& stored, const LearnedState& learned)
{
    return {learned.takenUnixMs, merged(stored.routes, learned.routes), merged(stored.services, learned.services),
            merged(stored.quotas, learned.quotas)};
}

} // namespace sailpath::snapshot
