#include "PlatformStandIn.hpp"

#include <sailpath/adapters/http/ServerThread.hpp>
#include <sailpath/adapters/store/Base64.hpp>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <functional>
#include <optional>
#include <thread>

namespace sailpath::standins
{
namespace
{
using nlohmann::json;

constexpr std::chrono::milliseconds watchPoll{200};

////////////////////////////////////////////////////////////
std::string decode(const json& object, const char* member)
{
    return adapters::store::decodeBase64(object.value(member, std::string())).value_or(std::string());
}

////////////////////////////////////////////////////////////
std::int64_t number(const json& object, const char* member)
{
    const auto found = object.find(member);
    if (found == object.end())
        return 0;
    return found->is_string() ? std::stoll(found->get<std::string>()) : found->get<std::int64_t>();
}

////////////////////////////////////////////////////////////
json toJson(const std::string& key, const StoredKey& content)
{
    return {{"key", adapters::store::encodeBase64(key)},
            {"value", adapters::store::encodeBase64(content.value)},
            {"mod_revision", std::to_string(content.modified)},
            {"create_revision", std::to_string(content.created)}};
}

////////////////////////////////////////////////////////////
json header(std::int64_t revision)
{
    return {{"revision", std::to_string(revision)}};
}

} // namespace

////////////////////////////////////////////////////////////
struct PlatformStandIn::Impl
{
    using Answer = std::function<json(const json&)>;

    ////////////////////////////////////////////////////////////
    /// \brief Serve one path, with the faults in force
    ////////////////////////////////////////////////////////////
    void serve(const std::string& path, Answer answer)
    {
        server.Post(path,
                    [this, answer = std::move(answer)](const httplib::Request& request, httplib::Response& response)
                    {
                        ++calls;
                        const FaultState fault = faults.forCall();
                        std::this_thread::sleep_for(fault.delay);
                        if (fault.outage)
                        {
                            response.status = 503;
                            return;
                        }
                        const json body = json::parse(request.body, nullptr, false);
                        const json result = answer(body);
                        // A lost answer: the call took effect, the caller hears of an error.
                        if (fault.dropAnswers > 0)
                            response.status = 500;
                        else
                            response.set_content(result.dump(), "application/json");
                    });
    }

    ////////////////////////////////////////////////////////////
    json range(const json& body)
    {
        std::int64_t revision = 0;
        json         items = json::array();
        for (const auto& [key, content] : store.range(decode(body, "key"), decode(body, "range_end"), revision))
            items.push_back(toJson(key, content));
        return {{"header", header(revision)}, {"kvs", items}, {"count", std::to_string(items.size())}};
    }

    ////////////////////////////////////////////////////////////
    json txn(const json& body)
    {
        Transaction transaction;
        for (const json& compare : body.value("compare", json::array()))
        {
            Condition condition{decode(compare, "key"), {}, {}};
            if (compare.value("target", std::string()) == "VALUE")
                condition.value = decode(compare, "value");
            else
                condition.modified = number(compare, "mod_revision");
            transaction.conditions.push_back(std::move(condition));
        }
        for (const json& operation : body.value("success", json::array()))
        {
            if (operation.contains("requestPut"))
            {
                const json& put = operation["requestPut"];
                transaction.changes.push_back({decode(put, "key"), decode(put, "value"), number(put, "lease")});
            }
            else
            {
                transaction.changes.push_back({decode(operation["requestDeleteRange"], "key"), {}, 0});
            }
        }
        std::int64_t revision = 0;
        const bool   done = store.transact(transaction, revision);
        json         responses = json::array();
        for (const json& operation : done ? json::array() : body.value("failure", json::array()))
            responses.push_back({{"response_range", range(operation["requestRange"])}});
        return {{"header", header(revision)}, {"succeeded", done}, {"responses", responses}};
    }

    ////////////////////////////////////////////////////////////
    void watch(const httplib::Request& request, httplib::Response& response)
    {
        ++calls;
        if (faults.forCall().outage)
        {
            response.status = 503;
            return;
        }
        const json        create = json::parse(request.body)["create_request"];
        const std::string first = decode(create, "key");
        const std::string end = decode(create, "range_end");
        auto              next = std::make_shared<std::int64_t>(number(create, "start_revision"));
        response.set_chunked_content_provider(
            "application/json",
            [this, first, end, next](std::size_t, httplib::DataSink& sink)
            {
                const auto changes = store.changes(first, end, *next, watchPoll);
                if (stopping || faults.forCall().outage || !sink.is_writable())
                    return false;
                if (changes.empty())
                    return true;
                json events = json::array();
                for (const StoredChange& change : changes)
                {
                    events.push_back(
                        {{"type", change.deleted ? "DELETE" : "PUT"}, {"kv", toJson(change.key, change.content)}});
                    *next = change.revision + 1;
                }
                const std::string line = json{{"result", {{"events", events}}}}.dump() + "\n";
                return sink.write(line.data(), line.size());
            });
    }

    ////////////////////////////////////////////////////////////
    void setFault(const json& body)
    {
        FaultState state;
        state.delay = std::chrono::milliseconds{body.value("delayMs", 0)};
        state.outage = body.value("outage", false);
        state.dropAnswers = body.value("dropAnswers", 0);
        faults.set(state);
    }

    httplib::Server                             server;          //!< The library's server
    KeyValueStandIn                             store;           //!< The keys
    Faults                                      faults;          //!< Faults in force
    std::atomic<std::uint64_t>                  calls{0};        //!< Calls so far
    std::atomic<bool>                           stopping{false}; //!< Watches end
    std::mutex                                  vmsMutex;        //!< Guards the list
    std::string                                 vms{"[]"};       //!< List of VMs
    std::optional<adapters::http::ServerThread> thread;          //!< Runs the server
};

////////////////////////////////////////////////////////////
PlatformStandIn::PlatformStandIn(std::uint16_t port) :
m_impl(std::make_unique<Impl>())
{
    Impl& impl = *m_impl;
    impl.server.new_task_queue = [] { return new httplib::ThreadPool(64); };
    impl.server.set_tcp_nodelay(true);
    impl.server.set_keep_alive_timeout(1);
    impl.serve("/v3/kv/range", [&impl](const json& body) { return impl.range(body); });
    impl.serve("/v3/kv/txn", [&impl](const json& body) { return impl.txn(body); });
    impl.serve("/v3/lease/grant",
               [&impl](const json& body)
               {
                   const std::int64_t seconds = number(body, "TTL");
                   return json{{"ID", std::to_string(impl.store.grant(seconds))}, {"TTL", std::to_string(seconds)}};
               });
    impl.serve(
        "/v3/lease/keepalive",
        [&impl](const json& body)
        {
            const std::int64_t lease = number(body, "ID");
            return json{{"result", {{"ID", std::to_string(lease)}, {"TTL", std::to_string(impl.store.renew(lease))}}}};
        });
    impl.serve("/v3/lease/revoke",
               [&impl](const json& body)
               {
                   impl.store.revoke(number(body, "ID"));
                   return json::object();
               });
    impl.server.Post("/v3/watch", [&impl](const httplib::Request& request, httplib::Response& response)
                     { impl.watch(request, response); });
    impl.server.Post("/fault", [&impl](const httplib::Request& request, httplib::Response&)
                     { impl.setFault(json::parse(request.body)); });
    impl.server.Get("/vms",
                    [&impl](const httplib::Request&, httplib::Response& response)
                    {
                        ++impl.calls;
                        const std::lock_guard<std::mutex> lock(impl.vmsMutex);
                        response.set_content(impl.vms, "application/json");
                    });
    impl.server.Put("/vms", [this](const httplib::Request& request, httplib::Response&) { setVms(request.body); });

    impl.thread.emplace(impl.server, adapters::settings::Endpoint{"127.0.0.1", port});
}

////////////////////////////////////////////////////////////
PlatformStandIn::~PlatformStandIn()
{
    m_impl->stopping = true;
    m_impl->thread.reset();
}

////////////////////////////////////////////////////////////
std::uint16_t PlatformStandIn::port() const
{
    return m_impl->thread->port();
}

////////////////////////////////////////////////////////////
KeyValueStandIn& PlatformStandIn::store()
{
    return m_impl->store;
}

////////////////////////////////////////////////////////////
Faults& PlatformStandIn::faults()
{
    return m_impl->faults;
}

////////////////////////////////////////////////////////////
std::uint64_t PlatformStandIn::calls() const
{
    return m_impl->calls;
}

////////////////////////////////////////////////////////////
void PlatformStandIn::setVms(const std::string& json)
{
    const std::lock_guard<std::mutex> lock(m_impl->vmsMutex);
    m_impl->vms = json;
}

} // namespace sailpath::standins
