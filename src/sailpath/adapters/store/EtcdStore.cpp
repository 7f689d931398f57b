#include <sailpath/adapters/store/EtcdStore.hpp>

#include <sailpath/adapters/store/Base64.hpp>

#include <boost/leaf.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <mutex>

namespace sailpath::adapters::store
{
namespace
{
namespace leaf = boost::leaf;
using nlohmann::json;
using ports::StoreStatus;

constexpr std::size_t longestEvent = 4UL * 1024 * 1024; // A value may have a megabyte, and base64 and JSON add to it

////////////////////////////////////////////////////////////
/// \brief Error object: the call failed, and whether it may have had an effect
////////////////////////////////////////////////////////////
struct CallFailure
{
    StoreStatus status; //!< `Unavailable` or `Unknown`
};

////////////////////////////////////////////////////////////
/// \brief First key after all keys with a prefix
////////////////////////////////////////////////////////////
std::string prefixEnd(std::string_view prefix)
{
    std::string end(prefix);
    end.back() = static_cast<char>(end.back() + 1);
    return end;
}

////////////////////////////////////////////////////////////
/// \brief 64-bit numbers stand as text in the gateway's JSON; absent ones are zero
////////////////////////////////////////////////////////////
std::int64_t number(const json& object, const char* member)
{
    const auto found = object.find(member);
    if (found == object.end())
        return 0;
    return found->is_string() ? std::stoll(found->get<std::string>()) : found->get<std::int64_t>();
}

////////////////////////////////////////////////////////////
std::string bytes(const json& object, const char* member)
{
    return decodeBase64(object.value(member, std::string())).value_or(std::string());
}

////////////////////////////////////////////////////////////
ports::KeyValue toKeyValue(const json& item)
{
    return {bytes(item, "key"), bytes(item, "value"), static_cast<std::uint64_t>(number(item, "mod_revision"))};
}

////////////////////////////////////////////////////////////
std::uint64_t headerRevision(const json& answer)
{
    const auto header = answer.find("header");
    return header == answer.end() ? 0 : static_cast<std::uint64_t>(number(*header, "revision"));
}

////////////////////////////////////////////////////////////
StoreStatus statusFor(httplib::Error error)
{
    const bool neverSent = error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout;
    return neverSent ? StoreStatus::Unavailable : StoreStatus::Unknown;
}

} // namespace

////////////////////////////////////////////////////////////
struct EtcdStore::Impl
{
    Impl(const settings::Endpoint& endpoint, core::Duration timeout) :
    client(endpoint.address, endpoint.port),
    watcher(endpoint.address, endpoint.port)
    {
        client.set_keep_alive(true);
        client.set_tcp_nodelay(true);
        client.set_connection_timeout(timeout);
        client.set_read_timeout(timeout);
        client.set_write_timeout(timeout);
        watcher.set_connection_timeout(timeout);
        watcher.set_read_timeout(std::chrono::seconds{60});
    }

    ////////////////////////////////////////////////////////////
    leaf::result<json> call(const char* path, const json& body)
    {
        const auto answer = client.Post(path, body.dump(), "application/json");
        if (!answer)
            return leaf::new_error(CallFailure{statusFor(answer.error())});
        if (answer->status != 200)
            return leaf::new_error(CallFailure{StoreStatus::Unknown});
        json parsed = json::parse(answer->body, nullptr, false);
        if (!parsed.is_object())
            return leaf::new_error(CallFailure{StoreStatus::Unknown});
        return parsed;
    }

    ////////////////////////////////////////////////////////////
    leaf::result<ports::ReadAnswer> read(const json& body)
    {
        BOOST_LEAF_AUTO(answer, call("/v3/kv/range", body));
        ports::ReadAnswer result;
        result.status = StoreStatus::Ok;
        result.revision = headerRevision(answer);
        for (const json& item : answer.value("kvs", json::array()))
            result.items.push_back(toKeyValue(item));
        return result;
    }

    ////////////////////////////////////////////////////////////
    leaf::result<ports::WriteAnswer> write(const json& body)
    {
        BOOST_LEAF_AUTO(answer, call("/v3/kv/txn", body));
        ports::WriteAnswer result;
        result.revision = headerRevision(answer);
        result.status = answer.value("succeeded", false) ? StoreStatus::Ok : StoreStatus::Conflict;
        if (result.status == StoreStatus::Conflict)
        {
            const json range = answer.value("/responses/0/response_range"_json_pointer, json::object());
            for (const json& item : range.value("kvs", json::array()))
                result.current = toKeyValue(item);
        }
        return result;
    }

    ////////////////////////////////////////////////////////////
    leaf::result<ports::CreateAnswer> create(const json& body)
    {
        BOOST_LEAF_AUTO(answer, call("/v3/kv/txn", body));
        ports::CreateAnswer result;
        result.status = answer.value("succeeded", false) ? StoreStatus::Ok : StoreStatus::Conflict;
        if (result.status == StoreStatus::Ok)
            return result;
        for (const json& response : answer.value("responses", json::array()))
        {
            const json range = response.value("response_range", json::object());
            for (const json& item : range.value("kvs", json::array()))
                result.existing.push_back(toKeyValue(item));
        }
        return result;
    }

    ////////////////////////////////////////////////////////////
    leaf::result<ports::LeaseGrant> lease(const char* path, const json& body, bool nested)
    {
        BOOST_LEAF_AUTO(answer, call(path, body));
        const json        content = nested ? answer.value("result", json::object()) : answer;
        ports::LeaseGrant result;
        result.lease = number(content, "ID");
        result.length = std::chrono::seconds{number(content, "TTL")};
        result.status = result.length.count() > 0 ? StoreStatus::Ok : StoreStatus::Conflict;
        return result;
    }

    httplib::Client   client;             //!< For calls
    httplib::Client   watcher;            //!< For the watch
    std::atomic<bool> watchEnding{false}; //!< Somebody ended the watch
};

namespace
{
////////////////////////////////////////////////////////////
/// \brief Turn a result into an answer; a failure becomes an answer with its status
////////////////////////////////////////////////////////////
template <typename Answer, typename Call>
Answer resolve(Call call)
{
    const auto failed = [](StoreStatus status)
    {
        Answer answer;
        answer.status = status;
        return answer;
    };
    return leaf::try_handle_all([&]() -> leaf::result<Answer> { return call(); },
                                [&](const CallFailure& failure) { return failed(failure.status); },
                                [&] { return failed(StoreStatus::Unknown); });
}

} // namespace

////////////////////////////////////////////////////////////
EtcdStore::EtcdStore(const settings::Endpoint& endpoint, core::Duration timeout) :
m_impl(std::make_unique<Impl>(endpoint, timeout))
{
}

////////////////////////////////////////////////////////////
EtcdStore::~EtcdStore() = default;

////////////////////////////////////////////////////////////
ports::ReadAnswer EtcdStore::get(std::string_view key)
{
    return resolve<ports::ReadAnswer>([&] { return m_impl->read({{"key", encodeBase64(key)}}); });
}

////////////////////////////////////////////////////////////
ports::ReadAnswer EtcdStore::range(std::string_view prefix)
{
    const json body{{"key", encodeBase64(prefix)}, {"range_end", encodeBase64(prefixEnd(prefix))}};
    return resolve<ports::ReadAnswer>([&] { return m_impl->read(body); });
}

////////////////////////////////////////////////////////////
ports::WriteAnswer EtcdStore::compareAndSwap(const ports::ConditionalWrite& write)
{
    const std::string key = encodeBase64(write.key);
    json              put{{"key", key}, {"value", encodeBase64(write.value)}};
    if (write.lease != 0)
        put["lease"] = std::to_string(write.lease);
    const json body{
        {"compare",
         {{{"key", key}, {"target", "MOD"}, {"result", "EQUAL"}, {"mod_revision", std::to_string(write.expected)}}}},
        {"success", {{{"requestPut", put}}}},
        {"failure", {{{"requestRange", {{"key", key}}}}}}};
    return resolve<ports::WriteAnswer>([&] { return m_impl->write(body); });
}

////////////////////////////////////////////////////////////
ports::CreateAnswer EtcdStore::createAll(std::span<const ports::ConditionalWrite> writes)
{
    json compare = json::array();
    json success = json::array();
    json failure = json::array();
    for (const ports::ConditionalWrite& write : writes)
    {
        const std::string key = encodeBase64(write.key);
        compare.push_back({{"key", key}, {"target", "MOD"}, {"result", "EQUAL"}, {"mod_revision", "0"}});
        success.push_back(
            {{"requestPut",
              {{"key", key}, {"value", encodeBase64(write.value)}, {"lease", std::to_string(write.lease)}}}});
        failure.push_back({{"requestRange", {{"key", key}}}});
    }
    const json body{{"compare", compare}, {"success", success}, {"failure", failure}};
    return resolve<ports::CreateAnswer>([&] { return m_impl->create(body); });
}

////////////////////////////////////////////////////////////
ports::StoreStatus EtcdStore::removeIf(std::string_view key, std::string_view value)
{
    const std::string encoded = encodeBase64(key);
    const json compare{{"key", encoded}, {"target", "VALUE"}, {"result", "EQUAL"}, {"value", encodeBase64(value)}};
    const json body{{"compare", {compare}}, {"success", {{{"requestDeleteRange", {{"key", encoded}}}}}}};
    return resolve<ports::WriteAnswer>([&] { return m_impl->write(body); }).status;
}

////////////////////////////////////////////////////////////
ports::LeaseGrant EtcdStore::grant(core::Duration length)
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(length).count();
    return resolve<ports::LeaseGrant>(
        [&] {
            return m_impl->lease("/v3/lease/grant", {{"TTL", std::to_string(seconds)}}, false);
        });
}

////////////////////////////////////////////////////////////
ports::LeaseGrant EtcdStore::renew(std::int64_t lease)
{
    return resolve<ports::LeaseGrant>(
        [&] {
            return m_impl->lease("/v3/lease/keepalive", {{"ID", std::to_string(lease)}}, true);
        });
}

////////////////////////////////////////////////////////////
void EtcdStore::revoke(std::int64_t lease)
{
    (void)m_impl->client.Post("/v3/lease/revoke", json{{"ID", std::to_string(lease)}}.dump(), "application/json");
}

////////////////////////////////////////////////////////////
void EtcdStore::watch(std::string_view prefix, std::uint64_t revision,
                      const std::function<bool(std::span<const ports::KeyValue>)>& changes)
{
    const json create{{"key", encodeBase64(prefix)},
                      {"range_end", encodeBase64(prefixEnd(prefix))},
                      {"start_revision", std::to_string(revision)}};

    std::string      pending;
    httplib::Request request;
    request.method = "POST";
    request.path = "/v3/watch";
    request.headers.emplace("Content-Type", "application/json");
    request.body = json{{"create_request", create}}.dump();
    request.response_handler = [](const httplib::Response& response) { return response.status == 200; };
    request.content_receiver = [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t)
    {
        pending.append(data, size);
        for (auto end = pending.find('\n'); end != std::string::npos; end = pending.find('\n'))
        {
            const json line = json::parse(pending.substr(0, end), nullptr, false);
            pending.erase(0, end + 1);
            if (!line.is_object() || !line.contains("result") || line["result"].value("canceled", false))
                return false;
            std::vector<ports::KeyValue> items;
            for (const json& event : line["result"].value("events", json::array()))
                items.push_back(toKeyValue(event.value("kv", json::object())));
            if (!items.empty() && !changes(items))
                return false;
        }
        return !m_impl->watchEnding && pending.size() < longestEvent;
    };
    (void)m_impl->watcher.send(request);
}

////////////////////////////////////////////////////////////
void EtcdStore::endWatch()
{
    m_impl->watchEnding = true;
    m_impl->watcher.stop();
}

} // namespace sailpath::adapters::store
