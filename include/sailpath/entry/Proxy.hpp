#pragma once

#include <sailpath/adapters/http/BackendClient.hpp>
#include <sailpath/adapters/http/CallerRequest.hpp>
#include <sailpath/entry/ClaimBatcher.hpp>
#include <sailpath/entry/SharedDispatcher.hpp>
#include <sailpath/metrics/TrafficMetrics.hpp>
#include <sailpath/ports/EventLog.hpp>

#include <atomic>
#include <optional>
#include <string>
#include <string_view>

namespace sailpath::entry
{
namespace priv
{
class Attempt;
}

////////////////////////////////////////////////////////////
/// \brief Serves callers' requests by executing the decisions of the dispatcher
////////////////////////////////////////////////////////////
class Proxy : public adapters::http::RequestHandler
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Create a proxy
    ///
    /// \param node       Name of this node, used as a prefix of request ids
    /// \param dispatcher Decides about requests and retries
    /// \param client     Connections to backend servers
    /// \param claims     Commits claims for idempotency keys
    /// \param metrics    Receives outcome and latency of each request
    /// \param log        Receives log events
    ////////////////////////////////////////////////////////////
    Proxy(std::string node, SharedDispatcher& dispatcher, adapters::http::BackendClient& client, ClaimBatcher& claims,
          metrics::TrafficMetrics& metrics, ports::EventLog& log);

    ////////////////////////////////////////////////////////////
    /// \copydoc RequestHandler::serve
    ////////////////////////////////////////////////////////////
    void serve(adapters::http::CallerRequest& request) override;

private:
    struct HeldClaim
    {
        claims::Claim   claim;      //!< Claim of the request's idempotency key
        core::Timestamp sendBefore; //!< The request must not be sent at or after this time
    };

    [[nodiscard]] std::string      requestId(const adapters::http::RequestHead& head);
    [[nodiscard]] std::string_view forward(adapters::http::CallerRequest& caller,
                                           adapters::http::ServerRequest& request, node::Step step,
                                           const std::string& id);
    [[nodiscard]] node::Outcome    runAttempt(adapters::http::CallerRequest& caller,
                                              adapters::http::ServerRequest& request, const node::Step& step,
                                              const std::string& id, priv::Attempt& attempt);
    [[nodiscard]] std::string_view refuse(adapters::http::CallerRequest& caller, const node::Refusal& refusal,
                                          const std::string& id);
    [[nodiscard]] std::optional<node::Refusal> claim(const adapters::http::RequestHead& head, const node::Step& step,
                                                     const std::string& id, std::optional<HeldClaim>& held);

    std::string                    m_node;         //!< Name of this node, prefix of request ids
    SharedDispatcher&              m_dispatcher;   //!< Decides about requests and retries
    adapters::http::BackendClient& m_client;       //!< Connections to backend servers
    ClaimBatcher&                  m_claims;       //!< Claims for idempotency keys
    metrics::TrafficMetrics&       m_metrics;      //!< Receives outcomes and latencies
    ports::EventLog&               m_log;          //!< Receives log events
    std::atomic<std::uint64_t>     m_nextId{1};    //!< Number of the next request id
    std::int64_t                   m_processStart; //!< Start time of this process, part of claim tokens
    std::atomic<std::uint64_t>     m_nextClaim{1}; //!< Number of the next claim token
};

} // namespace sailpath::entry
