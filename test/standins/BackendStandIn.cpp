#include "BackendStandIn.hpp"

#include <sailpath/adapters/http/ServerThread.hpp>
#include <sailpath/adapters/logging/Log4cplusEventLog.hpp>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

namespace sailpath::standins
{
namespace
{
using nlohmann::json;

////////////////////////////////////////////////////////////
BackendBehaviour fromJson(const json& body, BackendBehaviour behaviour)
{
    behaviour.work = std::chrono::microseconds{body.value("workUs", behaviour.work.count())};
    behaviour.slots = body.value("slots", behaviour.slots);
    behaviour.waiting = body.value("waiting", behaviour.waiting);
    behaviour.reject = body.value("reject", behaviour.reject);
    behaviour.drain = body.value("drain", behaviour.drain);
    behaviour.cutAnswer = body.value("cutAnswer", behaviour.cutAnswer);
    behaviour.dropAnswer = body.value("dropAnswer", behaviour.dropAnswer);
    behaviour.bodyBytes = body.value("bodyBytes", behaviour.bodyBytes);
    behaviour.chunked = body.value("chunked", behaviour.chunked);
    return behaviour;
}

} // namespace

////////////////////////////////////////////////////////////
struct BackendStandIn::Impl
{
    ////////////////////////////////////////////////////////////
    BackendBehaviour current()
    {
        const std::lock_guard<std::mutex> lock(mutex);
        return behaviour;
    }

    ////////////////////////////////////////////////////////////
    /// \brief Wait for a slot; false when too many wait already
    ////////////////////////////////////////////////////////////
    bool enter()
    {
        std::unique_lock<std::mutex> lock(mutex);
        if (present >= behaviour.slots + behaviour.waiting)
            return false;
        ++present;
        slotFree.wait(lock, [this] { return working < behaviour.slots; });
        ++working;
        return true;
    }

    ////////////////////////////////////////////////////////////
    void leave()
    {
        {
            const std::lock_guard<std::mutex> lock(mutex);
            --working;
            --present;
        }
        slotFree.notify_one();
    }

    ////////////////////////////////////////////////////////////
    void addLoad(httplib::Response& response)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        // The load without the request that is being answered.
        response.set_header("Sailpath-Load", std::to_string(present > 0 ? present - 1 : 0));
        if (behaviour.drain)
            response.set_header("Sailpath-Draining", "true");
    }

    ////////////////////////////////////////////////////////////
    void record(const httplib::Request& request)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        ++executed;
        if (request.has_header("Operation"))
            ++byOperation[request.get_header_value("Operation")];
        history.push_back({request.get_header_value("X-Request-Id"), request.get_header_value("Operation")});
        lastHeaders = request.headers;
    }

    ////////////////////////////////////////////////////////////
    void serve(const httplib::Request& request, httplib::Response& response)
    {
        const BackendBehaviour how = current();
        const std::string      id = request.get_header_value("X-Request-Id");
        if (log)
            log->write(ports::Level::Debug, "server-received", {{"in", id}, {"path", request.path}});
        if (how.reject)
        {
            addLoad(response);
            response.status = 500;
            return;
        }
        if (!enter())
        {
            response.status = 503;
            response.set_header("Sailpath-Ran", "not-run");
            return;
        }
        record(request);
        std::this_thread::sleep_for(how.work);
        addLoad(response);
        leave();
        if (log)
            log->write(ports::Level::Debug, "server-answered", {{"out", id + ".answer"}});
        fill(how, request, response, id);
    }

    ////////////////////////////////////////////////////////////
    void fill(const BackendBehaviour& how, const httplib::Request& request, httplib::Response& response,
              const std::string& id)
    {
        if (how.bodyBytes == 0 && !how.cutAnswer && !how.dropAnswer)
        {
            const json body{
                {"server", name}, {"path", request.path}, {"request", id}, {"received", request.body.size()}};
            response.set_content(body.dump() + "\n", "application/json");
            return;
        }
        const std::uint64_t size = std::max<std::uint64_t>(how.bodyBytes, 1000);
        const auto provider = [this, how, size](std::size_t offset, std::size_t length, httplib::DataSink& sink)
        {
            if (!sink.is_writable())
            {
                ++gone;
                return false;
            }
            if (how.cutAnswer && offset >= size / 2)
                return false;
            const std::string piece(std::min<std::size_t>(length, 64UL * 1024), 'x');
            const bool        taken =
                sink.write(piece.data(), how.cutAnswer ? std::min(piece.size(), size / 2) : piece.size());
            gone += taken ? 0 : 1;
            return taken;
        };
        if (how.dropAnswer)
            response.set_content_provider(size, "application/octet-stream",
                                          [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
        else if (how.chunked)
            response.set_chunked_content_provider("application/octet-stream",
                                                  [provider, size](std::size_t offset, httplib::DataSink& sink)
                                                  {
                                                      if (offset >= size)
                                                      {
                                                          sink.done();
                                                          return true;
                                                      }
                                                      return provider(offset, size - offset, sink);
                                                  });
        else
            response.set_content_provider(size, "application/octet-stream", provider);
    }

    std::string                                         name;        //!< In answers
    httplib::Server                                     server;      //!< The library's server
    std::mutex                                          mutex;       //!< Guards what follows
    std::condition_variable                             slotFree;    //!< Signals a free slot
    BackendBehaviour                                    behaviour;   //!< In force
    unsigned                                            working{0};  //!< Requests in slots
    unsigned                                            present{0};  //!< Requests in slots and waiting
    std::uint64_t                                       executed{0}; //!< Requests run
    std::map<std::string, std::uint64_t>                byOperation; //!< Requests run by `Operation` header
    std::vector<std::pair<std::string, std::string>>    history;     //!< Attempt id and operation of each request run
    httplib::Headers                                    lastHeaders; //!< Of the last request
    std::atomic<std::uint64_t>                          gone{0};     //!< Callers that left
    std::optional<adapters::logging::Log4cplusEventLog> log;         //!< Events
    std::optional<adapters::http::ServerThread>         thread;      //!< Runs the server
};

////////////////////////////////////////////////////////////
BackendStandIn::BackendStandIn(std::string name, std::uint16_t port, const BackendBehaviour& behaviour,
                               const std::string& logFile) :
m_impl(std::make_unique<Impl>())
{
    Impl& impl = *m_impl;
    impl.name = std::move(name);
    impl.behaviour = behaviour;
    if (!logFile.empty())
        impl.log.emplace(impl.name, logFile, "debug");
    impl.server.new_task_queue = [] { return new httplib::ThreadPool(160); };
    impl.server.set_tcp_nodelay(true);
    impl.server.set_keep_alive_max_count(1'000'000);
    impl.server.set_keep_alive_timeout(behaviour.keepAlive.count());
    impl.server.Get("/load", [&impl](const httplib::Request&, httplib::Response& response) { impl.addLoad(response); });
    impl.server.Get("/count", [&impl](const httplib::Request&, httplib::Response& response)
                    { response.set_content(std::to_string(impl.executed), "text/plain"); });
    impl.server.Get("/history",
                    [&impl](const httplib::Request&, httplib::Response& response)
                    {
                        const std::lock_guard<std::mutex> lock(impl.mutex);
                        json                              items = json::array();
                        for (const auto& [attempt, operation] : impl.history)
                            items.push_back({{"attempt", attempt}, {"operation", operation}});
                        response.set_content(items.dump(), "application/json");
                    });
    impl.server.Post("/behaviour", [&impl, this](const httplib::Request& request, httplib::Response&)
                     { behave(fromJson(json::parse(request.body), impl.current())); });
    const auto serve = [&impl](const httplib::Request& request, httplib::Response& response)
    { impl.serve(request, response); };
    impl.server.Get(".*", serve);
    impl.server.Post(".*", serve);
    impl.server.Put(".*", serve);
    impl.server.Patch(".*", serve);
    impl.server.Delete(".*", serve);
    impl.server.Options(".*", serve);

    impl.thread.emplace(impl.server, adapters::settings::Endpoint{"127.0.0.1", port});
}

////////////////////////////////////////////////////////////
BackendStandIn::~BackendStandIn()
{
    m_impl->thread.reset();
}

////////////////////////////////////////////////////////////
std::uint16_t BackendStandIn::port() const
{
    return m_impl->thread->port();
}

////////////////////////////////////////////////////////////
std::uint64_t BackendStandIn::executions() const
{
    const std::lock_guard<std::mutex> lock(m_impl->mutex);
    return m_impl->executed;
}

////////////////////////////////////////////////////////////
std::uint64_t BackendStandIn::executions(const std::string& key) const
{
    const std::lock_guard<std::mutex> lock(m_impl->mutex);
    const auto                        found = m_impl->byOperation.find(key);
    return found == m_impl->byOperation.end() ? 0 : found->second;
}

////////////////////////////////////////////////////////////
std::uint64_t BackendStandIn::cancelled() const
{
    return m_impl->gone;
}

////////////////////////////////////////////////////////////
std::string BackendStandIn::lastHeader(const std::string& name) const
{
    const std::lock_guard<std::mutex> lock(m_impl->mutex);
    const auto                        found = m_impl->lastHeaders.find(name);
    return found == m_impl->lastHeaders.end() ? std::string() : found->second;
}

////////////////////////////////////////////////////////////
void BackendStandIn::behave(const BackendBehaviour& behaviour)
{
    {
        const std::lock_guard<std::mutex> lock(m_impl->mutex);
        m_impl->behaviour = behaviour;
    }
    m_impl->slotFree.notify_all();
}

} // namespace sailpath::standins
