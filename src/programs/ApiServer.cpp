#include "ApiServer.hpp"

#include <sailpath/adapters/http/ServerThread.hpp>
#include <sailpath/adapters/store/EtcdStore.hpp>
#include <sailpath/api/ChangeWriter.hpp>
#include <sailpath/api/Tokens.hpp>
#include <sailpath/config/WorkspaceParser.hpp>
#include <sailpath/documents/StoreKeys.hpp>
#include <sailpath/entry/SteadyClock.hpp>
#include <sailpath/limits/RateLimit.hpp>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <charconv>
#include <map>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <thread>

namespace sailpath::programs
{
namespace
{
using api::Caller;
using api::Change;
using api::ChangeAnswer;
using api::ChangeResult;
using api::Scope;
using httplib::Request;
using httplib::Response;
using nlohmann::json;

constexpr core::Duration   storeTimeout = std::chrono::seconds{2};
constexpr auto             betweenTries = std::chrono::milliseconds{100};
constexpr std::string_view bearer = "Bearer ";
constexpr double           changeBurst = 10;

////////////////////////////////////////////////////////////
/// \brief Every error has the same body: a code, a message, findings with their place
////////////////////////////////////////////////////////////
void answerError(Response& response, int status, std::string_view code, std::string_view message,
                 const core::Findings& findings = {})
{
    json list = json::array();
    for (const core::Finding& finding : findings.all())
        list.push_back({{"place", finding.place}, {"message", finding.message}});
    response.status = status;
    response.set_content(json{{"error", {{"code", code}, {"message", message}, {"findings", list}}}}.dump(2) + "\n",
                         "application/json");
}

////////////////////////////////////////////////////////////
void answerLater(Response& response, std::string_view code, std::string_view ran)
{
    answerError(response, 503, code, "the platform's key-value service does not answer");
    response.set_header("Retry-After", "2");
    response.set_header("Sailpath-Ran", std::string(ran));
}

////////////////////////////////////////////////////////////
std::string entityTag(std::uint64_t revision)
{
    return "\"" + std::to_string(revision) + "\"";
}

////////////////////////////////////////////////////////////
/// \brief The revision that a write depends on, by its preconditions
////////////////////////////////////////////////////////////
std::optional<std::uint64_t> precondition(const Request& request)
{
    if (request.get_header_value("If-None-Match") == "*")
        return 0;
    const std::string tag = request.get_header_value("If-Match");
    std::uint64_t     revision = 0;
    if (tag.size() < 3 || tag.front() != '"' || tag.back() != '"')
        return std::nullopt;
    const auto [end, error] = std::from_chars(tag.data() + 1, tag.data() + tag.size() - 1, revision);
    if (error != std::errc{} || end != tag.data() + tag.size() - 1)
        return std::nullopt;
    return revision;
}

} // namespace

////////////////////////////////////////////////////////////
struct ApiServer::Impl
{
    Impl(ApiSettings given, ports::EventLog& events) :
    settings(std::move(given)),
    log(events),
    store(settings.platform, storeTimeout),
    tokens(store, settings.adminToken),
    writer(store, [] { std::this_thread::sleep_for(betweenTries); }),
    rate(settings.changesPerSecond, changeBurst)
    {
    }

    using Handler = void (Impl::*)(const Request&, Response&, const Caller&);

    ////////////////////////////////////////////////////////////
    /// \brief Wrap a handler: who calls, and one request at the store at a time
    ////////////////////////////////////////////////////////////
    auto guarded(Handler handler)
    {
        return [this, handler](const Request& request, Response& response)
        {
            const std::lock_guard<std::mutex> lock(mutex);
            const std::string                 header = request.get_header_value("Authorization");
            bool                              unavailable = false;
            std::optional<Caller>             caller;
            if (header.starts_with(bearer))
                caller = tokens.check(std::string_view(header).substr(bearer.size()), unavailable);
            if (unavailable)
                answerLater(response, "store-unavailable", "not-run");
            else if (!caller)
                answerError(response, 401, "unauthorized", "a valid bearer token is needed");
            else
                (this->*handler)(request, response, *caller);
        };
    }

    ////////////////////////////////////////////////////////////
    /// \brief Whether the caller may act on the workspace in the path; answers when not
    ////////////////////////////////////////////////////////////
    bool allowed(const Caller& caller, Scope scope, const std::string& workspace, Response& response)
    {
        if (caller.may(scope, workspace))
            return true;
        // Another workspace's name must not be told from one that does not exist.
        answerError(response, 404, "not-found", "no such workspace for this token");
        return false;
    }

    ////////////////////////////////////////////////////////////
    void list(const Request&, Response& response, const Caller& caller)
    {
        const ports::ReadAnswer read = store.range(documents::configurationPrefix);
        if (read.status != ports::StoreStatus::Ok)
        {
            answerLater(response, "store-unavailable", "not-run");
            return;
        }
        json items = json::array();
        for (const ports::KeyValue& item : read.items)
        {
            const auto document = documents::toDocument(item);
            if (document && !document->deleted && caller.may(Scope::Read, document->workspace))
                items.push_back({{"workspace", document->workspace}, {"revision", document->revision}});
        }
        response.set_content(json{{"workspaces", items}}.dump(2) + "\n", "application/json");
    }

    ////////////////////////////////////////////////////////////
    void get(const Request& request, Response& response, const Caller& caller)
    {
        const std::string workspace = request.matches[1];
        if (!allowed(caller, Scope::Read, workspace, response))
            return;
        const ports::ReadAnswer read = store.get(documents::configurationKey(workspace));
        if (read.status != ports::StoreStatus::Ok)
        {
            answerLater(response, "store-unavailable", "not-run");
            return;
        }
        const auto document = read.items.empty() ? std::nullopt : documents::toDocument(read.items.front());
        if (!document || document->deleted)
        {
            answerError(response, 404, "not-found", "no such workspace for this token");
            return;
        }
        response.set_header("ETag", entityTag(document->revision));
        response.set_content(document->text + "\n", "application/json");
    }

    ////////////////////////////////////////////////////////////
    void put(const Request& request, Response& response, const Caller& caller)
    {
        const std::string workspace = request.matches[1];
        if (!allowed(caller, Scope::Write, workspace, response))
            return;
        if (request.body.size() > settings.largestDocument)
        {
            answerError(response, 413, "too-large", "the declaration is larger than the store takes");
            return;
        }
        config::ParsedWorkspace parsed = config::parseWorkspace(request.body, workspace);
        if (parsed.workspace && parsed.workspace->name != workspace)
            parsed.findings.add(workspace + ":/workspace", "expected \"" + workspace + "\" as in the path");
        if (!parsed.findings.empty())
        {
            answerError(response, 422, "findings", "the declaration has findings", parsed.findings);
            return;
        }
        Change change;
        change.workspace = workspace;
        change.text = config::formatWorkspace(*parsed.workspace);
        write(change, request, response, caller);
    }

    ////////////////////////////////////////////////////////////
    void remove(const Request& request, Response& response, const Caller& caller)
    {
        Change change;
        change.workspace = request.matches[1];
        change.remove = true;
        if (allowed(caller, Scope::Write, change.workspace, response))
            write(change, request, response, caller);
    }

    ////////////////////////////////////////////////////////////
    void write(Change& change, const Request& request, Response& response, const Caller& caller)
    {
        change.ifRevision = precondition(request);
        change.changeId = request.get_header_value("Change-Id");
        change.dryRun = request.get_param_value("dryRun") == "true";
        if (!change.ifRevision || change.changeId.empty())
        {
            answerError(response, 428, "precondition-required",
                        "send If-Match with the revision you saw (or If-None-Match: *) and a Change-Id of your own");
            return;
        }
        if (!rate.allow(change.workspace, entry::steadyNow()))
        {
            answerError(response, 429, "too-many-changes", "this workspace changes too often");
            response.set_header("Retry-After", "1");
            return;
        }
        const ChangeAnswer answer = writer.apply(change);
        audit(change, answer, caller);
        answerChange(answer, response);
    }

    ////////////////////////////////////////////////////////////
    void audit(const Change& change, const ChangeAnswer& answer, const Caller& caller)
    {
        static constexpr std::array<std::string_view, 7> names{"done",      "already-done", "dry-run", "conflict",
                                                               "not-found", "unavailable",  "unknown"};
        log.write(ports::Level::Info, "configuration-change",
                  {{"workspace", change.workspace},
                   {"by", caller.workspace.empty() ? "administrator" : caller.workspace},
                   {"action", change.remove ? "delete" : "put"},
                   {"change", change.changeId},
                   {"result", names.at(static_cast<std::size_t>(answer.result))},
                   {"revision", answer.revision}});
    }

    ////////////////////////////////////////////////////////////
    static void answerChange(const ChangeAnswer& answer, Response& response)
    {
        switch (answer.result)
        {
        case ChangeResult::Done:
        case ChangeResult::AlreadyDone:
        case ChangeResult::WouldBeDone:
            response.set_header("ETag", entityTag(answer.revision));
            response.set_content(json{{"revision", answer.revision},
                                      {"dryRun", answer.result == ChangeResult::WouldBeDone},
                                      {"alreadyDone", answer.result == ChangeResult::AlreadyDone}}
                                         .dump() +
                                     "\n",
                                 "application/json");
            return;
        case ChangeResult::Conflict:
            response.set_header("ETag", entityTag(answer.revision));
            answerError(response, 412, "conflict",
                        "the workspace is at revision " + std::to_string(answer.revision) + " now");
            return;
        case ChangeResult::NotFound:
            answerError(response, 404, "not-found", "no such workspace for this token");
            return;
        case ChangeResult::Unavailable:
            answerLater(response, "store-unavailable", "not-run");
            return;
        case ChangeResult::Unknown:
            answerLater(response, "outcome-unknown", "unknown");
            return;
        }
    }

    ////////////////////////////////////////////////////////////
    void metrics(Response& response)
    {
        const std::lock_guard<std::mutex> lock(countsMutex);
        std::string                       text = "# TYPE sailpath_api_answers_total counter\n";
        for (const auto& [status, count] : answers)
        {
            text.append("sailpath_api_answers_total{status=\"").append(std::to_string(status)).append("\"} ");
            text.append(std::to_string(count)).append("\n");
        }
        response.set_content(text, "text/plain; version=0.0.4");
    }

    ////////////////////////////////////////////////////////////
    void makeToken(const Request& request, Response& response, const Caller& caller)
    {
        const std::string workspace = request.matches[1];
        const auto        body = json::parse(request.body, nullptr, false);
        const auto        scope = body.is_object() ? api::parseScope(body.value("scope", std::string())) : std::nullopt;
        if (caller.scope != Scope::Admin)
            answerError(response, 403, "forbidden", "only the administrator makes tokens");
        else if (!scope || *scope == Scope::Admin)
            answerError(response, 422, "findings", "expected {\"scope\": \"read\"} or {\"scope\": \"write\"}");
        else if (const auto token = tokens.make(workspace, *scope))
        {
            log.write(ports::Level::Info, "token-made", {{"workspace", workspace}});
            response.set_content(json{{"token", *token}}.dump() + "\n", "application/json");
        }
        else
            answerLater(response, "store-unavailable", "unknown");
    }

    ApiSettings                                 settings;    //!< Constants
    ports::EventLog&                            log;         //!< Audit events
    std::mutex                                  mutex;       //!< One request at a time
    adapters::store::EtcdStore                  store;       //!< The store
    api::Tokens                                 tokens;      //!< Who calls
    api::ChangeWriter                           writer;      //!< Writes changes
    limits::RateLimit                           rate;        //!< Changes by workspace
    std::mutex                                  countsMutex; //!< Guards the counts
    std::map<int, std::uint64_t>                answers;     //!< Answers by HTTP status
    httplib::Server                             server;      //!< The library's server
    std::optional<adapters::http::ServerThread> thread;      //!< Runs the server
};

////////////////////////////////////////////////////////////
ApiServer::ApiServer(ApiSettings settings, ports::EventLog& log) :
m_impl(std::make_unique<Impl>(std::move(settings), log))
{
    Impl& impl = *m_impl;
    impl.server.new_task_queue = [] { return new httplib::ThreadPool(8); };
    impl.server.set_payload_max_length(impl.settings.largestDocument * 2);
    impl.server.set_tcp_nodelay(true);
    impl.server.set_logger(
        [&impl](const Request&, const Response& response)
        {
            const std::lock_guard<std::mutex> lock(impl.countsMutex);
            ++impl.answers[response.status];
        });
    impl.server.Get("/metrics", [&impl](const Request&, Response& response) { impl.metrics(response); });
    impl.server.Get("/v1/workspaces", impl.guarded(&Impl::list));
    impl.server.Get("/v1/workspaces/([a-z0-9-]{1,63})", impl.guarded(&Impl::get));
    impl.server.Put("/v1/workspaces/([a-z0-9-]{1,63})", impl.guarded(&Impl::put));
    impl.server.Delete("/v1/workspaces/([a-z0-9-]{1,63})", impl.guarded(&Impl::remove));
    impl.server.Post("/v1/workspaces/([a-z0-9-]{1,63})/tokens", impl.guarded(&Impl::makeToken));
    impl.thread.emplace(impl.server, impl.settings.listen);
}

////////////////////////////////////////////////////////////
ApiServer::~ApiServer()
{
    m_impl->thread.reset();
}

////////////////////////////////////////////////////////////
std::uint16_t ApiServer::port() const
{
    return m_impl->thread->port();
}

} // namespace sailpath::programs
