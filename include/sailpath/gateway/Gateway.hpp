#pragma once

#include <sailpath/balance/Balancer.hpp>
#include <sailpath/deployment/DeclaredState.hpp>
#include <sailpath/gateway/Dialect.hpp>
#include <sailpath/gateway/GatewaySettings.hpp>
#include <sailpath/gateway/Metrics.hpp>
#include <sailpath/ports/EventLog.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace asio
{
class io_context;
}

namespace sailpath::gateway
{
////////////////////////////////////////////////////////////
/// \brief The data path: callers' connections, servers' connections, decisions
///
/// Runs on one event loop, which serves all connections; a slow caller
/// holds memory for what it has sent and nothing else.
////////////////////////////////////////////////////////////
class Gateway
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Listen and begin to serve once the loop runs
    ///
    /// \param context Loop; all calls come from its thread
    /// \param dialect Outlives the gateway
    /// \param log     Outlives the gateway
    ////////////////////////////////////////////////////////////
    Gateway(asio::io_context& context, GatewaySettings settings, const Dialect& dialect, ports::EventLog& log);

    ~Gateway();
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;

    void configure(const deployment::DeclaredState& declared); //!< Put what is declared in force

    ////////////////////////////////////////////////////////////
    /// \brief Say where to learn when the configuration in force was last known to be the operators'
    ///
    /// \param provedAt Called on the loop's thread; null when it never was
    ////////////////////////////////////////////////////////////
    void watchProof(std::function<std::optional<core::Timestamp>()> provedAt);

    ////////////////////////////////////////////////////////////
    /// \brief Say where to learn when the rest of the fleet could be heard last
    ///
    /// \param heardFleet Called on the loop's thread; null when it never was
    ////////////////////////////////////////////////////////////
    void watchContact(std::function<std::optional<core::Timestamp>()> heardFleet);

    ////////////////////////////////////////////////////////////
    /// \brief Say who is to hear which instances failed here
    ///
    /// \param failed Called on the loop's thread with short hashes of their ids
    ////////////////////////////////////////////////////////////
    void watchFailures(std::function<void(std::vector<std::uint32_t>)> failed);

    void hearFailures(std::span<const deployment::ServerFailure> failures); //!< Other nodes saw instances fail

    ////////////////////////////////////////////////////////////
    /// \brief Say who is to hear of servers that ended under requests here, and of requests that were quarantined
    ///
    /// \param news        Called on the loop's thread with what other nodes are to know
    /// \param quarantined Called on the loop's thread with each new or wider belief
    ////////////////////////////////////////////////////////////
    void watchCrashes(std::function<void(deployment::CrashReport)> news,
                      std::function<void(deployment::Quarantine)>  quarantined);

    void hearCrashes(const deployment::CrashReport& news); //!< Other nodes saw servers end under requests

    ////////////////////////////////////////////////////////////
    /// \brief Say who is to hear what limited servers said here and what was sent to them
    ///
    /// \param news Called on the loop's thread
    ////////////////////////////////////////////////////////////
    void watchLimits(std::function<void(std::vector<deployment::LimitReport>)> news);

    void hearLimits(std::span<const deployment::LimitReport> news); //!< The same of other nodes

    void addMetrics(std::function<std::string()> further); //!< Text that the metrics page ends with

    void leave();     //!< Planned stop: not ready, connections end at the next answer
    void closeIdle(); //!< Planned stop: end connections at rest, take no new ones

    [[nodiscard]] std::size_t     unfinished() const;    //!< Requests not answered yet
    [[nodiscard]] std::size_t     callers() const;       //!< Callers' connections
    [[nodiscard]] const Counters& counters() const;      //!< Since the start
    [[nodiscard]] std::uint16_t   port() const;          //!< Where callers connect
    [[nodiscard]] std::uint16_t   readinessPort() const; //!< Where readiness is asked for
    [[nodiscard]] std::uint16_t   metricsPort() const;   //!< Where metrics are asked for; 0 for nowhere

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl; //!< Connections and decisions
};

} // namespace sailpath::gateway
