#include <sailpath/timeline/Event.hpp>

#include <array>
#include <cstdio>
#include <ctime>

namespace sailpath::timeline
{
namespace
{
constexpr std::int64_t microsPerSecond = 1'000'000;

////////////////////////////////////////////////////////////
/// \brief Take the next `key=value` off a line; false at its end
////////////////////////////////////////////////////////////
bool takePair(std::string_view& line, std::string& key, std::string& value)
{
    const auto equals = line.find('=');
    if (equals == std::string_view::npos)
        return false;
    key = line.substr(0, equals);
    value.clear();
    line.remove_prefix(equals + 1);
    if (!line.starts_with('"'))
    {
        const auto end = line.find(' ');
        value = line.substr(0, end);
        line.remove_prefix(end == std::string_view::npos ? line.size() : end + 1);
        return true;
    }
    std::size_t i = 1;
    for (; i < line.size() && line[i] != '"'; ++i)
    {
        if (line[i] == '\\' && i + 1 < line.size())
            ++i;
        value += line[i];
    }
    line.remove_prefix(std::min(line.size(), i + 2));
    return true;
}

////////////////////////////////////////////////////////////
std::optional<std::int64_t> parseTime(const std::string& text)
{
    std::tm   parts{};
    int       micros = 0;
    const int read = std::sscanf(text.c_str(), "%d-%d-%dT%d:%d:%d.%6dZ", &parts.tm_year, &parts.tm_mon, &parts.tm_mday,
                                 &parts.tm_hour, &parts.tm_min, &parts.tm_sec, &micros);
    if (read != 7)
        return std::nullopt;
    parts.tm_year -= 1900;
    parts.tm_mon -= 1;
    return static_cast<std::int64_t>(timegm(&parts)) * microsPerSecond + micros;
}

} // namespace

////////////////////////////////////////////////////////////
std::string_view Event::field(std::string_view key) const
{
    for (const auto& [known, value] : fields)
    {
        if (known == key)
            return value;
    }
    return {};
}

////////////////////////////////////////////////////////////
std::optional<Event> parseEvent(std::string_view line)
{
    Event       event;
    bool        timed = false;
    std::string key;
    std::string value;
    while (takePair(line, key, value))
    {
        if (key == "time")
        {
            const auto time = parseTime(value);
            timed = time.has_value();
            event.micros = time.value_or(0);
        }
        else if (key == "node")
            event.node = value;
        else if (key == "event")
            event.name = value;
        else
            event.fields.emplace_back(key, value);
    }
    if (!timed || event.node.empty() || event.name.empty())
        return std::nullopt;
    return event;
}

////////////////////////////////////////////////////////////
std::string formatTime(std::int64_t micros)
{
    const std::time_t seconds = micros / microsPerSecond;
    std::tm           parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 40> text{};
    const std::size_t    length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::snprintf(text.data() + length, text.size() - length, ".%06dZ", static_cast<int>(micros % microsPerSecond));
    return text.data();
}

} // namespace sailpath::timeline
