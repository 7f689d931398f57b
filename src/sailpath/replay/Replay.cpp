#include <sailpath/replay/Replay.hpp>

#include "Simulation.hpp"

namespace sailpath::replay
{
namespace
{
constexpr core::Duration baselineProbes = std::chrono::milliseconds{500};

////////////////////////////////////////////////////////////
Variant baseline(const char* name, const char* choice)
{
    Variant variant;
    variant.name = name;
    variant.decisions.choice = choice;
    variant.decisions.useEjection = false;
    variant.decisions.useLimits = false;
    variant.answerReports = false;
    variant.budgetedProbes = false;
    variant.peers = false;
    return variant;
}

////////////////////////////////////////////////////////////
Variant without(const char* name, void (*change)(Variant&))
{
    Variant variant;
    variant.name = name;
    change(variant);
    return variant;
}

} // namespace

////////////////////////////////////////////////////////////
std::vector<Variant> knownVariants()
{
    std::vector<Variant> variants;
    variants.emplace_back();
    variants.push_back(baseline("random", "random"));
    variants.push_back(baseline("round-robin", "round-robin"));
    variants.push_back(baseline("least-own", "least-own"));
    variants.push_back(baseline("two-own", "two-own"));
    variants.push_back(baseline("two-probed", "two-reported"));
    variants.back().probeEvery = baselineProbes;
    variants.emplace_back();
    variants.back().name = "omniscient";
    variants.back().omniscient = true;
    variants.back().budgetedProbes = false;

    variants.push_back(without("no-ejection", [](Variant& v) { v.decisions.useEjection = false; }));
    variants.push_back(without("no-limits", [](Variant& v) { v.decisions.useLimits = false; }));
    variants.push_back(without("no-reports", [](Variant& v) { v.decisions.load.useReports = false; }));
    variants.push_back(without("no-oldest-age", [](Variant& v) { v.decisions.load.useOldestAge = false; }));
    variants.push_back(without("no-probes", [](Variant& v) { v.budgetedProbes = false; }));
    variants.push_back(without("no-patience", [](Variant& v) { v.decisions.usePatience = false; }));
    variants.push_back(without("no-peers", [](Variant& v) { v.peers = false; }));
    return variants;
}

////////////////////////////////////////////////////////////
Report replay(const Trace& trace, const Variant& variant)
{
    return priv::Simulation(trace, variant).run();
}

} // namespace sailpath::replay
