#include <sailpath/timeline/ClockAlignment.hpp>

#include <algorithm>
#include <unordered_map>

namespace sailpath::timeline
{
namespace
{
////////////////////////////////////////////////////////////
/// \brief Shortest apparent transit from one node to another
////////////////////////////////////////////////////////////
using Transits = std::map<std::pair<std::string, std::string>, std::int64_t>;

////////////////////////////////////////////////////////////
Transits shortestTransits(std::span<const Event> events)
{
    std::unordered_map<std::string, const Event*> sent;
    for (const Event& event : events)
    {
        if (const auto out = event.field("out"); !out.empty())
            sent.emplace(std::string(out), &event);
    }
    Transits transits;
    for (const Event& event : events)
    {
        const auto found = sent.find(std::string(event.field("in")));
        if (found == sent.end() || found->second->node == event.node)
            continue;
        const std::int64_t transit = event.micros - found->second->micros;
        const auto [known, added] = transits.try_emplace({found->second->node, event.node}, transit);
        if (!added)
            known->second = std::min(known->second, transit);
    }
    return transits;
}

} // namespace

////////////////////////////////////////////////////////////
ClockCorrections alignClocks(std::span<const Event> events)
{
    ClockCorrections corrections;
    for (const Event& event : events)
        corrections.try_emplace(event.node, 0);
    const Transits transits = shortestTransits(events);
    // As many passes as nodes settle every chain of constraints that can be met.
    for (std::size_t pass = 0; pass < corrections.size(); ++pass)
    {
        bool changed = false;
        for (const auto& [nodes, transit] : transits)
        {
            const std::int64_t least = corrections[nodes.first] - transit;
            if (corrections[nodes.second] < least)
            {
                corrections[nodes.second] = least;
                changed = true;
            }
        }
        if (!changed)
            break;
    }
    return corrections;
}

////////////////////////////////////////////////////////////
void applyCorrections(std::vector<Event>& events, const ClockCorrections& corrections)
{
    for (Event& event : events)
    {
        if (const auto found = corrections.find(event.node); found != corrections.end())
            event.micros += found->second;
    }
    const auto earlier = [](const Event& a, const Event& b)
    {
        if (a.micros != b.micros)
            return a.micros < b.micros;
        // At the same corrected time a sending comes before an arrival.
        return !a.field("out").empty() && b.field("out").empty() && !b.field("in").empty();
    };
    std::stable_sort(events.begin(), events.end(), earlier);
}

} // namespace sailpath::timeline
