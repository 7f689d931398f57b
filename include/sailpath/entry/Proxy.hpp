#pragma once

#include <sailpath/adapters/http/BackendClient.hpp>
#include <sailpath/adapters/http/CallerRequest.hpp>
#include <sailpath/entry/DispatcherDoor.hpp>
#include <sailpath/entry/TrafficMetrics.hpp>
#include <sailpath/ports/EventLog.hpp>

#include <atomic>
#include <string>

namespace sailpath::entry
{
////////////////////////////////////////////////////////////
/// \brief Serves callers' requests: asks for decisions and carries them out
////////////////////////////////////////////////////////////
class Proxy : public adapters::http::RequestHandler
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Create a proxy
    ///
    /// \param node    Name of this node, part of request ids
    /// \param door    Decisions
    /// \param client  Connections to backend servers
    /// \param metrics Receives what became of each request
    /// \param log     Receives events
    ////////////////////////////////////////////////////////////
    Proxy(std::string node, DispatcherDoor& door, adapters::http::BackendClient& client, TrafficMetrics& metrics,
          ports::EventLog& log);

    ////////////////////////////////////////////////////////////
    /// \copydoc RequestHandler::serve
    ////////////////////////////////////////////////////////////
    void serve(adapters::http::CallerRequest& request) override;

private:
    [[nodiscard]] std::string requestId(const adapters::http::RequestHead& head);

    std::string                    m_node;      //!< Part of request ids
    DispatcherDoor&                m_door;      //!< Decisions
    adapters::http::BackendClient& m_client;    //!< Connections to servers
    TrafficMetrics&                m_metrics;   //!< Counts and latencies
    ports::EventLog&               m_log;       //!< Events
    std::atomic<std::uint64_t>     m_nextId{1}; //!< For request ids
};

} // namespace sailpath::entry
