#include <sailpath/adapters/http/RequestHead.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <optional>

namespace sailpath::adapters::http
{
namespace
{
constexpr std::size_t                     maxTargetBytes = 4096;
constexpr std::array<std::string_view, 7> methods{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};
constexpr std::array<std::string_view, 9> hopByHop{"connection",          "keep-alive", "proxy-authenticate",
                                                   "proxy-authorization", "te",         "trailer",
                                                   "transfer-encoding",   "upgrade",    "proxy-connection"};

////////////////////////////////////////////////////////////
bool isTokenCharacter(unsigned char c)
{
    return std::isalnum(c) != 0 ||
           std::string_view("!#$%&'*+-.^_`|~").find(static_cast<char>(c)) != std::string_view::npos;
}

////////////////////////////////////////////////////////////
bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

////////////////////////////////////////////////////////////
bool hasControlCharacter(std::string_view text)
{
    return std::any_of(text.begin(), text.end(), [](unsigned char c) { return (c < 0x20 && c != '\t') || c == 0x7f; });
}

////////////////////////////////////////////////////////////
std::string_view trim(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

////////////////////////////////////////////////////////////
/// \brief Whether a comma-separated list contains a token
////////////////////////////////////////////////////////////
bool listContains(std::string_view list, std::string_view token)
{
    while (!list.empty())
    {
        const auto comma = list.find(',');
        if (sameName(trim(list.substr(0, comma)), token))
            return true;
        list = comma == std::string_view::npos ? std::string_view{} : list.substr(comma + 1);
    }
    return false;
}

////////////////////////////////////////////////////////////
std::optional<HeadError> parseRequestLine(std::string_view line, RequestHead& head)
{
    const auto first = line.find(' ');
    const auto last = line.rfind(' ');
    if (first == std::string_view::npos || first == last)
        return HeadError{400, "malformed request line"};
    head.method = line.substr(0, first);
    head.target = line.substr(first + 1, last - first - 1);
    const std::string_view version = line.substr(last + 1);

    if (std::find(methods.begin(), methods.end(), head.method) == methods.end())
        return HeadError{501, "method not supported"};
    if (version != "HTTP/1.1" && version != "HTTP/1.0")
        return HeadError{505, "HTTP version not supported"};
    if (head.target.size() > maxTargetBytes)
        return HeadError{414, "request target too long"};
    const bool printable =
        std::all_of(head.target.begin(), head.target.end(), [](unsigned char c) { return c > 0x20 && c < 0x7f; });
    if (!head.target.starts_with('/') || !printable)
        return HeadError{400, "malformed request target"};
    head.path = head.target.substr(0, head.target.find('?'));
    head.http10 = version == "HTTP/1.0";
    return std::nullopt;
}

////////////////////////////////////////////////////////////
std::optional<HeadError> parseFraming(RequestHead& head)
{
    std::size_t lengths = 0;
    std::size_t codings = 0;
    std::size_t hosts = 0;
    for (const Header& header : head.headers)
    {
        if (sameName(header.name, "Content-Length"))
        {
            ++lengths;
            const char* const end = header.value.data() + header.value.size();
            const auto [stop, error] = std::from_chars(header.value.data(), end, head.contentLength);
            if (header.value.empty() || error != std::errc{} || stop != end)
                return HeadError{400, "malformed Content-Length"};
        }
        else if (sameName(header.name, "Transfer-Encoding"))
        {
            ++codings;
            if (!sameName(header.value, "chunked"))
                return HeadError{501, "transfer coding not supported"};
        }
        else if (sameName(header.name, "Host"))
            ++hosts;
    }
    if (hosts > 1 || (hosts == 0 && !head.http10))
        return HeadError{400, "exactly one Host header is expected"};
    if (lengths + codings > 1)
        return HeadError{400, "more than one statement of the body's length"};
    if (codings == 1 && head.http10)
        return HeadError{400, "chunked coding in HTTP/1.0"};
    if (codings == 1)
        head.framing = BodyFraming::Chunked;
    else if (lengths == 1 && head.contentLength > 0)
        head.framing = BodyFraming::Length;

    const bool allowsBody = head.method != "GET" && head.method != "HEAD" && head.method != "OPTIONS";
    if (!allowsBody && head.framing != BodyFraming::None)
        return HeadError{400, "a body does not belong to this method"};
    return std::nullopt;
}

} // namespace

////////////////////////////////////////////////////////////
std::string_view RequestHead::header(std::string_view name) const
{
    const auto found = std::find_if(headers.begin(), headers.end(),
                                    [name](const Header& header) { return sameName(header.name, name); });
    return found == headers.end() ? std::string_view{} : std::string_view(found->value);
}

////////////////////////////////////////////////////////////
std::variant<RequestHead, HeadError> parseRequestHead(std::string_view raw)
{
    const auto lineEnd = raw.find("\r\n");
    if (lineEnd == std::string_view::npos)
        return HeadError{400, "malformed request line"};

    RequestHead head;
    if (const auto error = parseRequestLine(raw.substr(0, lineEnd), head))
        return *error;
    if (const std::string_view fault = splitHeaders(raw.substr(lineEnd + 2), head.headers); !fault.empty())
        return HeadError{400, fault};
    if (const auto error = parseFraming(head))
        return *error;
    const std::string_view connection = head.header("Connection");
    head.keepAlive = head.http10 ? listContains(connection, "keep-alive") : !listContains(connection, "close");
    return head;
}

////////////////////////////////////////////////////////////
bool sameName(std::string_view left, std::string_view right)
{
    const auto same = [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); };
    return left.size() == right.size() && std::equal(left.begin(), left.end(), right.begin(), same);
}

////////////////////////////////////////////////////////////
std::string_view splitHeaders(std::string_view lines, std::vector<Header>& into)
{
    while (!lines.empty())
    {
        const auto             end = lines.find("\r\n");
        const std::string_view line = lines.substr(0, end);
        lines = end == std::string_view::npos ? std::string_view{} : lines.substr(end + 2);
        if (line.empty())
            break;
        const auto colon = line.find(':');
        if (colon == std::string_view::npos || !isToken(line.substr(0, colon)))
            return "malformed header line";
        if (hasControlCharacter(line))
            return "control character in a header";
        into.push_back({std::string(line.substr(0, colon)), std::string(trim(line.substr(colon + 1)))});
    }
    return {};
}

////////////////////////////////////////////////////////////
bool isHopByHop(std::string_view name, std::string_view connection)
{
    const auto same = [name](std::string_view known) { return sameName(name, known); };
    return std::any_of(hopByHop.begin(), hopByHop.end(), same) || listContains(connection, name);
}

} // namespace sailpath::adapters::http
