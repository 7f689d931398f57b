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
    /// \param claims  Makes keys of requests durable
    /// \param metrics Receives what became of each request
    /// \param log     Receives events
    ////////////////////////////////////////////////////////////
    Proxy(std::string node, SharedDispatcher& door, adapters::http::BackendClient& client, ClaimBatcher& claims,
          metrics::TrafficMetrics& metrics, ports::EventLog& log);

    ////////////////////////////////////////////////////////////
    /// \copydoc RequestHandler::serve
    ////////////////////////////////////////////////////////////
    void serve(adapters::http::CallerRequest& request) override;

private:
    struct HeldClaim
    {
        claims::Claim   claim; //!< What is claimed
        core::Timestamp until; //!< The request must not be sent from here on
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

    std::string                    m_node;         //!< Part of request ids
    SharedDispatcher&              m_door;         //!< Decisions
    adapters::http::BackendClient& m_client;       //!< Connections to servers
    ClaimBatcher&                  m_claims;       //!< Keys of requests
    metrics::TrafficMetrics&       m_metrics;      //!< Counts and latencies
    ports::EventLog&               m_log;          //!< Events
    std::atomic<std::uint64_t>     m_nextId{1};    //!< For request ids
    std::int64_t                   m_start;        //!< Start of this process, part of claim tokens
    std::atomic<std::uint64_t>     m_nextClaim{1}; //!< For claim tokens
};

} // namespace sailpath::entry
