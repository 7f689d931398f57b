#include "StoreStandIn.hpp"

#include <sailpath/adapters/store/Base64.hpp>

#include <nlohmann/json.hpp>

namespace sailpath::standins
{
namespace
{
using nlohmann::json;
using support::Script;

////////////////////////////////////////////////////////////
std::string parameter(const std::string& target, const std::string& name)
{
    for (const char before : {'?', '&'})
    {
        const auto at = target.find(before + name + "=");
        if (at != std::string::npos)
        {
            const auto from = at + name.size() + 2;
            return target.substr(from, target.find('&', from) - from);
        }
    }
    return {};
}

////////////////////////////////////////////////////////////
std::string unescaped(const std::string& text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (text[i] != '%')
        {
            out += text[i];
            continue;
        }
        out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
        i += 2;
    }
    return out;
}

////////////////////////////////////////////////////////////
Script reply(int status, const std::string& body)
{
    return {"HTTP/1.1 " + std::to_string(status) + " S\r\nContent-Type: application/json\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body};
}

} // namespace

////////////////////////////////////////////////////////////
StoreStandIn::StoreStandIn(std::size_t page) :
m_page(page),
m_server([this](const std::string& request) { return answer(request); })
{
}

////////////////////////////////////////////////////////////
void StoreStandIn::put(const std::string& key, const std::string& value)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_items[key] = {value, ++m_revision, false};
    m_changed.notify_all();
}

////////////////////////////////////////////////////////////
void StoreStandIn::remove(const std::string& key)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_items[key] = {{}, ++m_revision, true};
    m_changed.notify_all();
}

////////////////////////////////////////////////////////////
void StoreStandIn::forgetHistory()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_forgotten = m_revision;
    m_changed.notify_all();
}

////////////////////////////////////////////////////////////
void StoreStandIn::setFault(StoreFault fault)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_fault = fault;
}

////////////////////////////////////////////////////////////
std::uint16_t StoreStandIn::port() const
{
    return m_server.port();
}

////////////////////////////////////////////////////////////
std::size_t StoreStandIn::oldReads() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_oldReads;
}

////////////////////////////////////////////////////////////
std::size_t StoreStandIn::calls() const
{
    return m_server.requests().size();
}

////////////////////////////////////////////////////////////
Script StoreStandIn::answer(const std::string& request)
{
    const auto from = request.find(' ') + 1;
    const auto target = request.substr(from, request.find(' ', from) - from);
    StoreFault fault = StoreFault::None;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        fault = m_fault;
    }
    Script script;
    switch (fault)
    {
    case StoreFault::None:
        break;
    case StoreFault::Refuse:
        return reply(503, "{}");
    case StoreFault::TooMany:
        return reply(429, "{}");
    case StoreFault::Silent:
        script.silent = true;
        return script;
    case StoreFault::LostAnswer:
        script.close = true;
        return script;
    case StoreFault::Garbled:
        return reply(200, "{\"items\":[{\"Key\":7}],");
    }
    if (target.starts_with("/-/kv-range"))
        return range(target);
    return target.starts_with("/-/kv-watch") ? watch(target) : reply(404, "{}");
}

////////////////////////////////////////////////////////////
Script StoreStandIn::range(const std::string& target)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const std::string                 prefix = unescaped(parameter(target, "PathPrefix"));
    const std::string                 after = unescaped(parameter(target, "after"));
    m_oldReads += parameter(target, "stale") == "1" ? 1 : 0;
    json items = json::array();
    bool more = false;
    for (const auto& [key, item] : m_items)
    {
        if (item.gone || !key.starts_with(prefix) || (!after.empty() && key <= after))
            continue;
        more = items.size() >= m_page;
        if (more)
            break;
        items.push_back({{"Key", key},
                         {"Value", adapters::store::encodeBase64(item.value)},
                         {"Revision", item.revision},
                         {"made", 1},
                         {"lease", 0},
                         {"new-field", true}});
    }
    return reply(200, json{{"items", items}, {"more", more}, {"at", m_revision}}.dump());
}

////////////////////////////////////////////////////////////
Script StoreStandIn::watch(const std::string& target)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    const std::uint64_t          after = std::stoull(parameter(target, "after"));
    const auto                   wait = std::chrono::milliseconds(std::stoll(parameter(target, "WaitMs")));
    (void)m_changed.wait_for(lock, wait, [&] { return m_revision > after || after < m_forgotten; });
    if (after < m_forgotten)
        return reply(410, "{}");
    json events = json::array();
    for (const auto& [key, item] : m_items)
    {
        if (item.revision <= after)
            continue;
        if (item.gone)
            events.push_back({{"Key", key}, {"Revision", item.revision}, {"gone", true}});
        else
            events.push_back(
                {{"Key", key}, {"Value", adapters::store::encodeBase64(item.value)}, {"Revision", item.revision}});
    }
    return reply(200, json{{"events", events}, {"at", m_revision}}.dump());
}

} // namespace sailpath::standins
