#include <sailpath/replay/Report.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace sailpath::replay
{
namespace
{
////////////////////////////////////////////////////////////
/// \brief The requests that a selection covers, summed up
////////////////////////////////////////////////////////////
struct Selected
{
    std::vector<double> latencies;                     //!< Of good answers, milliseconds
    double              requests{0};                   //!< All
    double              callers{0};                    //!< Those that callers made
    double              good{0};                       //!< Good answers
    double              refused{0};                    //!< Refused as not run
    double              slowestRefusal{0};             //!< Milliseconds
    core::Timestamp     first{core::Timestamp::max()}; //!< First arrival
    core::Timestamp     last{};                        //!< Last arrival
};

////////////////////////////////////////////////////////////
Selected select(const Report& report, const Expectation& selection)
{
    Selected selected;
    for (const RequestRecord& request : report.requests)
    {
        const bool wanted = request.at >= selection.from && request.at < selection.until &&
                            (selection.host.empty() || selection.host == request.host) &&
                            (selection.path.empty() || selection.path == request.path);
        if (!wanted)
            continue;
        ++selected.requests;
        selected.callers += request.nested ? 0 : 1;
        selected.first = std::min(selected.first, request.at);
        selected.last = std::max(selected.last, request.at);
        if (request.good)
        {
            ++selected.good;
            selected.latencies.push_back(core::toMilliseconds(request.latency));
        }
        else if (request.refused)
        {
            ++selected.refused;
            selected.slowestRefusal = std::max(selected.slowestRefusal, core::toMilliseconds(request.latency));
        }
    }
    std::sort(selected.latencies.begin(), selected.latencies.end());
    return selected;
}

////////////////////////////////////////////////////////////
double quantile(const Selected& selected, double share)
{
    if (selected.latencies.empty())
        return 0;
    const auto index = static_cast<std::size_t>(share * static_cast<double>(selected.latencies.size()));
    return selected.latencies[std::min(index, selected.latencies.size() - 1)];
}

////////////////////////////////////////////////////////////
double ratio(double part, double whole)
{
    return whole > 0 ? part / whole : 0;
}

////////////////////////////////////////////////////////////
double seconds(const Selected& selected)
{
    return selected.last > selected.first ? core::toSeconds(selected.last - selected.first) : 1;
}

struct Metric
{
    std::string_view name;                           //!< As in expectations
    double (*value)(const Selected&, const Report&); //!< Its value
};

constexpr std::array metrics{
    Metric{"p50Ms", [](const Selected& s, const Report&) { return quantile(s, 0.5); }},
    Metric{"p99Ms", [](const Selected& s, const Report&) { return quantile(s, 0.99); }},
    Metric{"p999Ms", [](const Selected& s, const Report&) { return quantile(s, 0.999); }},
    Metric{"goodShare", [](const Selected& s, const Report&) { return ratio(s.good, s.requests); }},
    Metric{"goodput", [](const Selected& s, const Report&) { return s.good / seconds(s); }},
    Metric{"refusedShare", [](const Selected& s, const Report&) { return ratio(s.refused, s.requests); }},
    Metric{"failedShare",
           [](const Selected& s, const Report&) { return ratio(s.requests - s.good - s.refused, s.requests); }},
    Metric{"slowestRefusalMs", [](const Selected& s, const Report&) { return s.slowestRefusal; }},
    Metric{"attemptsPerRequest",
           [](const Selected& s, const Report& r) { return ratio(static_cast<double>(r.attempts), s.requests); }},
    Metric{"attemptsPerCall",
           [](const Selected& s, const Report& r) { return ratio(static_cast<double>(r.attempts), s.callers); }},
    Metric{"probeCostMsPerS",
           [](const Selected&, const Report& r) { return ratio(r.probeCost, core::toSeconds(r.length)); }},
    Metric{"afterDrain", [](const Selected&, const Report& r) { return static_cast<double>(r.afterDrain); }},
    Metric{"doubleRuns", [](const Selected&, const Report& r) { return static_cast<double>(r.doubleRuns); }},
};

} // namespace

////////////////////////////////////////////////////////////
double Report::metric(const Expectation& selection) const
{
    const auto found = std::find_if(metrics.begin(), metrics.end(),
                                    [&selection](const Metric& metric) { return metric.name == selection.metric; });
    if (found == metrics.end())
        return std::numeric_limits<double>::quiet_NaN();
    return found->value(select(*this, selection), *this);
}

////////////////////////////////////////////////////////////
std::vector<Miss> check(const Trace& trace, const Report& report)
{
    std::vector<Miss> misses;
    for (const Expectation& expectation : trace.expectations)
    {
        const double value = report.metric(expectation);
        const bool   met = !std::isnan(value) && value <= expectation.atMost.value_or(value) &&
                         value >= expectation.atLeast.value_or(value);
        if (!met)
            misses.push_back({expectation, value});
    }
    return misses;
}

////////////////////////////////////////////////////////////
std::string describe(const Miss& miss)
{
    const Expectation& stated = miss.expectation;
    std::string        text = stated.metric;
    if (!stated.host.empty())
        text += " of " + stated.host + stated.path;
    text += " is " + std::to_string(miss.value) + ", stated";
    if (stated.atMost)
        text += " at most " + std::to_string(*stated.atMost);
    if (stated.atLeast)
        text += " at least " + std::to_string(*stated.atLeast);
    return text;
}

} // namespace sailpath::replay
