#include <sailpath/http/Head.hpp>

#include <algorithm>
#include <array>
#include <cctype>

namespace sailpath::http
{
namespace
{
constexpr unsigned firstStatus = 100;
constexpr unsigned firstFinalStatus = 200;
constexpr unsigned lastStatus = 599;

} // namespace

////////////////////////////////////////////////////////////
bool isStatus(unsigned code)
{
    return code >= firstStatus && code <= lastStatus;
}

////////////////////////////////////////////////////////////
bool isFinalStatus(unsigned code)
{
    return code >= firstFinalStatus && code <= lastStatus;
}

////////////////////////////////////////////////////////////
bool sameName(std::string_view left, std::string_view right)
{
    return left.size() == right.size() &&
           std::equal(left.begin(), left.end(), right.begin(),
                      [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

////////////////////////////////////////////////////////////
std::string_view Head::field(std::string_view name) const
{
    const auto found = std::find_if(fields.begin(), fields.end(),
                                    [name](const HeaderField& item) { return sameName(item.name, name); });
    return found == fields.end() ? std::string_view() : std::string_view(found->value);
}

////////////////////////////////////////////////////////////
bool Head::has(std::string_view name) const
{
    return std::any_of(fields.begin(), fields.end(),
                       [name](const HeaderField& item) { return sameName(item.name, name); });
}

////////////////////////////////////////////////////////////
bool concernsConnection(std::string_view name, std::string_view connection)
{
    static constexpr std::array<std::string_view, 8> always{
        "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding",
        "TE",         "Trailer",    "Upgrade",          "Content-Length"};
    if (std::any_of(always.begin(), always.end(), [name](std::string_view known) { return sameName(name, known); }))
        return true;
    while (!connection.empty())
    {
        const auto       comma = connection.find(',');
        std::string_view token = connection.substr(0, comma);
        while (!token.empty() && token.front() == ' ')
            token.remove_prefix(1);
        while (!token.empty() && token.back() == ' ')
            token.remove_suffix(1);
        if (sameName(token, name))
            return true;
        connection = comma == std::string_view::npos ? std::string_view() : connection.substr(comma + 1);
    }
    return false;
}

////////////////////////////////////////////////////////////
std::string_view pathOf(std::string_view target)
{
    constexpr std::string_view mark = "://";
    const auto                 scheme = target.find(mark);
    if (target.starts_with('/') || scheme == std::string_view::npos)
        return target;
    const auto path = target.find('/', scheme + mark.size());
    return path == std::string_view::npos ? std::string_view("/") : target.substr(path);
}

} // namespace sailpath::http
