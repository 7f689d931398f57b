#include <sailpath/snapshot/Text.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <vector>

namespace sailpath::snapshot
{
namespace
{
// One record a line, fields separated by tabs; the last line holds the number of records, so that a cut text shows.
constexpr std::string_view header = "sailpath-learned\t1";
constexpr std::string_view routeWord = "route";
constexpr std::string_view serviceWord = "service";
constexpr std::string_view quotaWord = "quota";
constexpr std::string_view endWord = "end";
constexpr std::size_t      endBytes = 32; // Reserved for the last line
constexpr int              decimals = 2;

using Fields = std::vector<std::string_view>;

////////////////////////////////////////////////////////////
std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    for (std::size_t end = text.find(separator); end != std::string_view::npos; end = text.find(separator))
    {
        parts.push_back(text.substr(0, end));
        text.remove_prefix(end + 1);
    }
    parts.push_back(text);
    return parts;
}

////////////////////////////////////////////////////////////
template <typename Number>
bool readNumber(std::string_view text, Number& to)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), to);
    return !text.empty() && error == std::errc{} && end == text.data() + text.size();
}

////////////////////////////////////////////////////////////
bool readValue(std::string_view text, double& to)
{
    return readNumber(text, to) && std::isfinite(to) && to >= 0;
}

////////////////////////////////////////////////////////////
std::string value(double number)
{
    std::array<char, 64> text{};
    const auto [end, error] =
        std::to_chars(text.data(), text.data() + text.size(), number, std::chars_format::fixed, decimals);
    return error == std::errc{} ? std::string(text.data(), end) : "0";
}

////////////////////////////////////////////////////////////
bool isName(std::string_view text)
{
    return !text.empty() && text.find_first_of("\t\n") == std::string_view::npos;
}

////////////////////////////////////////////////////////////
bool readRecord(const Fields& fields, LearnedState& to)
{
    if (fields[0] == routeWord && fields.size() == 5)
    {
        LearnedRoute& route = to.routes.emplace_back();
        route.service = fields[1];
        route.route = fields[2];
        return readValue(fields[3], route.workMs) && readValue(fields[4], route.callerTimeMs);
    }
    if (fields[0] == serviceWord && fields.size() == 5)
    {
        LearnedService& service = to.services.emplace_back();
        service.service = fields[1];
        return readValue(fields[2], service.slowdown) && readValue(fields[3], service.crowdedSlowdown) &&
               readValue(fields[4], service.bestLoad);
    }
    if (fields[0] == quotaWord && fields.size() == 3)
    {
        QuotaUse& quota = to.quotas.emplace_back();
        return readNumber(fields[1], quota.workspace) && readValue(fields[2], quota.saved);
    }
    return false;
}

} // namespace

////////////////////////////////////////////////////////////
std::string toText(const LearnedState& state)
{
    std::string text = std::string(header) + "\t" + std::to_string(state.takenUnixMs) + "\n";
    std::size_t records = 0;
    const auto  add = [&](const std::string& line)
    {
        if (text.size() + line.size() + endBytes > maxTextBytes)
            return;
        text += line;
        ++records;
    };
    for (const LearnedService& service : state.services)
    {
        if (isName(service.service))
            add(std::string(serviceWord) + "\t" + service.service + "\t" + value(service.slowdown) + "\t" +
                value(service.crowdedSlowdown) + "\t" + value(service.bestLoad) + "\n");
    }
    for (const LearnedRoute& route : state.routes)
    {
        if (isName(route.service) && isName(route.route))
            add(std::string(routeWord) + "\t" + route.service + "\t" + route.route + "\t" + value(route.workMs) + "\t" +
                value(route.callerTimeMs) + "\n");
    }
    for (const QuotaUse& quota : state.quotas)
        add(std::string(quotaWord) + "\t" + std::to_string(quota.workspace) + "\t" + value(quota.saved) + "\n");
    return text + std::string(endWord) + "\t" + std::to_string(records) + "\n";
}

////////////////////////////////////////////////////////////
std::optional<LearnedState> fromText(std::string_view text)
{
    if (text.size() > maxTextBytes || !text.ends_with('\n'))
        return std::nullopt;
    text.remove_suffix(1);
    const std::vector<std::string_view> lines = split(text, '\n');
    LearnedState                        state;
    const std::string                   start = std::string(header) + "\t";
    if (lines.size() < 2 || !lines.front().starts_with(start) ||
        !readNumber(lines.front().substr(start.size()), state.takenUnixMs))
        return std::nullopt;
    for (std::size_t i = 1; i + 1 < lines.size(); ++i)
    {
        if (!readRecord(split(lines[i], '\t'), state))
            return std::nullopt;
    }
    const Fields last = split(lines.back(), '\t');
    std::size_t  records = 0;
    if (last.size() != 2 || last[0] != endWord || !readNumber(last[1], records) || records != lines.size() - 2)
        return std::nullopt;
    return state;
}

} // namespace sailpath::snapshot
