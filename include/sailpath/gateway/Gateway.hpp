#pragma once

#include <sailpath/adapters/links/TunnelRequest.hpp>
#include <sailpath/balance/Balancer.hpp>
#include <sailpath/deployment/DeclaredState.hpp>
#include <sailpath/gateway/Dialect.hpp>
#include <sailpath/gateway/GatewaySettings.hpp>
#include <sailpath/gateway/LoopProgress.hpp>
#include <sailpath/gateway/Metrics.hpp>
#include <sailpath/gateway/StopSchedule.hpp>
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
/// \brief Data path: caller connections, server connections and balancing
///
/// Runs on one event loop that serves all connections. A slow caller uses
/// memory for the bytes it has sent and no other resource.
////////////////////////////////////////////////////////////
class Gateway
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Listen, and serve requests while the event loop runs
    ///
    /// \param context  Event loop; all functions must be called on its thread
    /// \param settings Settings of the data path
    /// \param dialect  Header names and formats; must outlive the gateway
    /// \param log      Event log; must outlive the gateway
    ////////////////////////////////////////////////////////////
    Gateway(asio::io_context& context, GatewaySettings settings, const Dialect& dialect, ports::EventLog& log);

    ~Gateway();
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;

    void configure(const deployment::DeclaredState& declared); //!< Apply a new configuration and list of servers

    ////////////////////////////////////////////////////////////
    /// \brief Set the source of the time at which the configuration in force was last confirmed
    ///
    /// The configuration is confirmed while it is known to be what the operators declare.
    ///
    /// \param confirmedAt Called on the loop's thread; returns null if the configuration was never confirmed
    ////////////////////////////////////////////////////////////
    void setConfirmedAtSource(std::function<std::optional<core::Timestamp>()> confirmedAt);

    ////////////////////////////////////////////////////////////
    /// \brief Set the source of the time of the last contact with other nodes
    ///
    /// \param lastContact Called on the loop's thread; returns null if there was no contact yet
    ////////////////////////////////////////////////////////////
    void setFleetContactSource(std::function<std::optional<core::Timestamp>()> lastContact);

    ////////////////////////////////////////////////////////////
    /// \brief Set the callback for instances that failed at this node
    ///
    /// \param handler Called on the loop's thread with short hashes of the instance ids
    ////////////////////////////////////////////////////////////
    void onServerFailures(std::function<void(std::vector<std::uint32_t>)> handler);

    void receiveServerFailures(
        std::span<const deployment::ServerFailure> failures); //!< Process failures seen by other nodes

    ////////////////////////////////////////////////////////////
    /// \brief Set the callbacks for servers that crashed while running requests at this node, and for quarantines
    ///
    /// \param newsHandler       Called on the loop's thread with the news for other nodes
    /// \param quarantineHandler Called on the loop's thread with each new, widened or withdrawn quarantine
    ////////////////////////////////////////////////////////////
    void onServerCrashes(std::function<void(deployment::CrashReport)> newsHandler,
                         std::function<void(deployment::Quarantine)>  quarantineHandler);

    void receiveServerCrashes(const deployment::CrashReport& news); //!< Process crashes seen by other nodes

    ////////////////////////////////////////////////////////////
    /// \brief Set the callback for limits that servers announced to this node, and the requests sent to such servers
    ///
    /// \param handler Called on the loop's thread
    ////////////////////////////////////////////////////////////
    void onServerLimits(std::function<void(std::vector<deployment::LimitReport>)> handler);

    void receiveServerLimits(std::span<const deployment::LimitReport> news); //!< Process limits seen by other nodes

    ////////////////////////////////////////////////////////////
    /// \brief Connect another node to a server that it has lost its path to
    ///
    /// \param request Connection of the other node; closed when no tunnel can be opened
    ////////////////////////////////////////////////////////////
    void serveTunnel(adapters::links::TunnelRequest request);

    void setAdditionalMetrics(std::function<std::string()> generator); //!< Set text appended to /metrics

    ////////////////////////////////////////////////////////////
    /// \brief Begin a planned stop: report not ready and close connections with their next answer
    ///
    /// \param endsAt When the process ends; requests that can't be answered before are refused
    ////////////////////////////////////////////////////////////
    void startDraining(core::Timestamp endsAt = core::Timestamp::max());
    void closeIdle(); //!< Continue a planned stop: stop listening and close idle caller connections

    ////////////////////////////////////////////////////////////
    /// \brief Return the earliest time at which what is handled now may have happened
    ///
    /// The current time, or the beginning of a stall of the event loop that has just ended.
    ////////////////////////////////////////////////////////////
    [[nodiscard]] core::Timestamp earliestArrival();

    [[nodiscard]] snapshot::LearnedState learned() const; //!< What this node has learned of services and callers
    [[nodiscard]] std::size_t unfinishedRequests() const; //!< Requests without an answer, those of other nodes included
    [[nodiscard]] OpenWork    openWork() const;           //!< What a planned stop has to wait for
    [[nodiscard]] const LoopProgress& progress() const;   //!< Of the event loop; may be read from any thread
    [[nodiscard]] const Counters&     counters() const;   //!< Counters since the start of the process
    [[nodiscard]] std::uint16_t       port() const;       //!< Port that callers connect to
    [[nodiscard]] std::uint16_t       readinessPort() const; //!< Port of the readiness page
    [[nodiscard]] std::uint16_t       metricsPort() const;   //!< Port of the metrics pages; 0 when not served

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl; //!< Implementation
};

} // namespace sailpath::gateway
