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
std::string queryParameter(const std::string& target, const std::string& name)
{
    for (const char separator : {'?', '&'})
    {
        const auto at = target.find(separator + name + "=");
        if (at != std::string::npos)
        {
            const auto from = at + name.size() + 2;
            return target.substr(from, target.find('&', from) - from);
        }
    }
    return {};
}

////////////////////////////////////////////////////////////
std::string percentDecoded(const std::string& text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (text[i] != '%')
        {
            decoded += text[i];
            continue;
        }
        decoded += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
        i += 2;
    }
    return decoded;
}

////////////////////////////////////////////////////////////
Script response(int status, const std::string& body)
{
    return {"HTTP/1.1 " + std::to_string(status) + " S\r\nContent-Type: application/json\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body};
}

} // namespace

////////////////////////////////////////////////////////////
StoreStandIn::StoreStandIn(std::size_t pageSize) :
m_pageSize(pageSize),
m_server([this](const std::string& request) { return respond(request); })
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
void StoreStandIn::discardHistory()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_discardedUpTo = m_revision;
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
std::size_t StoreStandIn::staleReads() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_staleReads;
}

////////////////////////////////////////////////////////////
std::size_t StoreStandIn::calls() const
{
    return m_server.requests().size();
}

////////////////////////////////////////////////////////////
Script StoreStandIn::respond(const std::string& request)
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
    case StoreFault::Unavailable:
        return response(503, "{}");
    case StoreFault::TooManyRequests:
        return response(429, "{}");
    case StoreFault::NoResponse:
        script.silent = true;
        return script;
    case StoreFault::LostResponse:
        script.close = true;
        return script;
    case StoreFault::MalformedBody:
        return response(200, "{\"items\":[{\"Key\":7}],");
    }
    if (target.starts_with("/-/kv-range"))
        return readRange(target);
    return target.starts_with("/-/kv-watch") ? watchChanges(target) : response(404, "{}");
}

////////////////////////////////////////////////////////////
Script StoreStandIn::readRange(const std::string& target)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const std::string                 prefix = percentDecoded(queryParameter(target, "PathPrefix"));
    const std::string                 after = percentDecoded(queryParameter(target, "after"));
    m_staleReads += queryParameter(target, "stale") == "1" ? 1 : 0;
    json items = json::array();
    bool more = false;
    for (const auto& [key, item] : m_items)
    {
        if (item.gone || !key.starts_with(prefix) || (!after.empty() && key <= after))
            continue;
        more = items.size() >= m_pageSize;
        if (more)
            break;
        items.push_back({{"Key", key},
                         {"Value", adapters::store::encodeBase64(item.value)},
                         {"Revision", item.revision},
                         {"made", 1},
                         {"lease", 0},
                         {"new-field", true}});
    }
    return response(200, json{{"items", items}, {"more", more}, {"at", m_revision}}.dump());
}

////////////////////////////////////////////////////////////
Script StoreStandIn::watchChanges(const std::string& target)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    const std::uint64_t          after = std::stoull(queryParameter(target, "after"));
    const auto                   wait = std::chrono::milliseconds(std::stoll(queryParameter(target, "WaitMs")));
    (void)m_changed.wait_for(lock, wait, [&] { return m_revision > after || after < m_discardedUpTo; });
    if (after < m_discardedUpTo)
        return response(410, "{}");
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
    return response(200, json{{"events", events}, {"at", m_revision}}.dump());
}

} // namespace sailpath::standins
