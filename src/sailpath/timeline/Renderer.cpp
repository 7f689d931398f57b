#include <sailpath/timeline/Renderer.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace sailpath::timeline
{
namespace
{
constexpr double           microsPerMillisecond = 1000;
constexpr std::string_view answerSuffix = ".answer";

constexpr std::string_view pageHead = R"(<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>sailpath time line</title><style>
body{font:13px sans-serif;margin:1em}table{border-collapse:collapse;width:100%}
td,th{border:1px solid #ddd;padding:2px 6px;text-align:left;vertical-align:top;font-family:monospace;font-size:12px}
th{position:sticky;top:0;background:#f4f4f4}tr.hidden{display:none}b{color:#036}
</style></head><body><h1>sailpath time line</h1>
<p><label>Show only lines with <input id="filter" placeholder="request id, event, server"></label></p>
<table><thead><tr><th>time (UTC)</th>)";

constexpr std::string_view pageTail = R"(</tbody></table><script>
document.getElementById('filter').addEventListener('input',function(e){
const wanted=e.target.value;for(const row of document.querySelectorAll('tbody tr'))
row.classList.toggle('hidden',wanted!==''&&!row.textContent.includes(wanted));});
</script></body></html>
)";

////////////////////////////////////////////////////////////
std::string escapeHtml(std::string_view text)
{
    std::string escaped;
    for (const char c : text)
    {
        switch (c)
        {
        case '<':
            escaped += "&lt;";
            break;
        case '>':
            escaped += "&gt;";
            break;
        case '&':
            escaped += "&amp;";
            break;
        case '"':
            escaped += "&quot;";
            break;
        default:
            escaped += c;
        }
    }
    return escaped;
}

////////////////////////////////////////////////////////////
std::string fieldsText(const Event& event)
{
    std::string text;
    for (const auto& [key, value] : event.fields)
    {
        if (key != "level")
            text.append(" ").append(key).append("=").append(value);
    }
    return text;
}

////////////////////////////////////////////////////////////
/// \brief The request of an attempt: its id without the attempt's number
////////////////////////////////////////////////////////////
std::string requestOf(std::string_view attempt)
{
    return std::string(attempt.substr(0, attempt.rfind('.')));
}

////////////////////////////////////////////////////////////
/// \brief Microseconds that servers logged between receiving and answering, by request
////////////////////////////////////////////////////////////
std::map<std::string, std::int64_t> workByRequest(std::span<const Event> events)
{
    std::map<std::string, std::int64_t> received;
    std::map<std::string, std::int64_t> work;
    for (const Event& event : events)
    {
        if (event.name == "server-received")
            received[requestOf(event.field("in"))] = event.micros;
        if (event.name != "server-answered")
            continue;
        std::string_view attempt = event.field("out");
        attempt.remove_suffix(std::min(attempt.size(), answerSuffix.size()));
        const std::string request = requestOf(attempt);
        if (const auto found = received.find(request); found != received.end())
            work[request] = event.micros - found->second;
    }
    return work;
}

} // namespace

////////////////////////////////////////////////////////////
std::string renderText(std::span<const Event> events)
{
    std::string text;
    for (const Event& event : events)
        text += formatTime(event.micros) + " " + event.node + " " + event.name + fieldsText(event) + "\n";
    return text;
}

////////////////////////////////////////////////////////////
std::string renderJsonLines(std::span<const Event> events)
{
    std::string text;
    for (const Event& event : events)
    {
        nlohmann::json line{{"time", formatTime(event.micros)}, {"node", event.node}, {"event", event.name}};
        for (const auto& [key, value] : event.fields)
            line[key] = value;
        text += line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    }
    return text;
}

////////////////////////////////////////////////////////////
std::string renderHtml(std::span<const Event> events)
{
    std::set<std::string> nodes;
    for (const Event& event : events)
        nodes.insert(event.node);

    std::string page(pageHead);
    for (const std::string& node : nodes)
        page += "<th>" + escapeHtml(node) + "</th>";
    page += "</tr></thead><tbody>\n";
    for (const Event& event : events)
    {
        page += "<tr><td>" + formatTime(event.micros) + "</td>";
        for (const std::string& node : nodes)
        {
            page += "<td>";
            if (node == event.node)
                page += "<b>" + escapeHtml(event.name) + "</b>" + escapeHtml(fieldsText(event));
            page += "</td>";
        }
        page += "</tr>\n";
    }
    page += pageTail;
    return page;
}

////////////////////////////////////////////////////////////
std::string renderTrace(std::span<const Event> events)
{
    const std::map<std::string, std::int64_t> work = workByRequest(events);
    std::string                               text;
    std::optional<std::int64_t>               first;
    for (const Event& event : events)
    {
        const auto found = work.find(std::string(event.field("request")));
        if (event.name != "request-received" || found == work.end())
            continue;
        first = first.value_or(event.micros);
        const nlohmann::json arrival{
            {"type", "arrival"},           {"atMs", static_cast<double>(event.micros - *first) / microsPerMillisecond},
            {"host", event.field("host")}, {"method", event.field("method")},
            {"path", event.field("path")}, {"workMs", static_cast<double>(found->second) / microsPerMillisecond}};
        text += arrival.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    }
    return text;
}

////////////////////////////////////////////////////////////
std::optional<Renderer> rendererNamed(std::string_view format)
{
    struct Named
    {
        std::string_view name;     //!< Format
        Renderer         renderer; //!< Writes it
    };
    static constexpr std::array renderers{Named{"text", renderText}, Named{"jsonl", renderJsonLines},
                                          Named{"html", renderHtml}, Named{"trace", renderTrace}};
    const auto                  found =
        std::find_if(renderers.begin(), renderers.end(), [format](const Named& named) { return named.name == format; });
    if (found == renderers.end())
        return std::nullopt;
    return found->renderer;
}

} // namespace sailpath::timeline
