#pragma once

#include "ServerConnection.hpp"

#include <asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace sailpath::gateway::priv
{
////////////////////////////////////////////////////////////
/// \brief Pool of all connections to servers, by instance
///
/// A connection on which a health check has no answer in time is silent: its
/// server is not asked on connections that were last heard before, and a
/// helper is asked whether it reaches the server.
////////////////////////////////////////////////////////////
class ServerConnections : public ServerConnectionEvents
{
public:
    using CountCallback = std::function<void(const deployment::Instance&, unsigned idle, unsigned open)>;
    using NoticeCallback = std::function<void(const std::shared_ptr<const deployment::Instance>&,
                                              const balance::ServerNotice&, balance::NoticeSource)>;

    ServerConnections(asio::io_context& context, const GatewaySettings& settings, const Dialect& dialect,
                      CountCallback onCount, NoticeCallback onNotice);

    ////////////////////////////////////////////////////////////
    /// \brief Return an idle connection to the instance that may carry the request, or a new one when none is usable
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::shared_ptr<ServerConnection> acquire(const std::shared_ptr<const deployment::Instance>& instance,
                                                            const OutgoingRequest&                             request);

    ////////////////////////////////////////////////////////////
    /// \brief Open a new connection to check that the instance still accepts any; it stays in the pool
    ////////////////////////////////////////////////////////////
    void check(const std::shared_ptr<const deployment::Instance>& instance, ServerConnection::CheckCallback onChecked);

    /// \brief Whether a further health check may be sent; not while many answers to earlier ones do not end
    [[nodiscard]] bool mayCheck(const deployment::Instance& instance) const;

    void closeExpired(); //!< Close connections that were idle too long, or whose data centre is evacuated
    void closeIdle();    //!< Close all idle connections

    ////////////////////////////////////////////////////////////
    /// \brief Close the idle connections to instances of evacuated data centres, now and in `closeExpired`
    ////////////////////////////////////////////////////////////
    void setEvacuated(const std::set<std::string>& dataCentres);

    ////////////////////////////////////////////////////////////
    /// \brief Close the idle connections to servers that have restarted since the connection was opened
    ////////////////////////////////////////////////////////////
    void closeRestarted(std::span<const deployment::Instance> instances);

    void setPeers(std::span<const deployment::Peer> peers);            //!< Nodes that may be asked for help
    void setHealthPaths(std::map<std::string, std::string> byService); //!< Paths of health checks
    void forget(std::span<const deployment::Instance> gone);           //!< Instances that are not declared any more

    ////////////////////////////////////////////////////////////
    /// \brief Ask servers directly, so that `paths().monitor` tells whether any is heard
    ////////////////////////////////////////////////////////////
    void provePath(std::span<const std::shared_ptr<const deployment::Instance>> servers);

    ////////////////////////////////////////////////////////////
    /// \brief Try lost direct paths again, one at a time
    ////////////////////////////////////////////////////////////
    void recheckPaths();

    [[nodiscard]] Paths&        paths();               //!< State of paths
    [[nodiscard]] std::uint64_t opened() const;        //!< Connections opened since the process started
    [[nodiscard]] std::size_t   tunnels() const;       //!< Open connections that go through helpers
    [[nodiscard]] std::size_t   unparsedBytes() const; //!< Received on all connections and not parsed

    void changed(ServerConnection& connection) override;
    void heard(ServerConnection& connection) override;
    void awaiting(ServerConnection& connection) override;
    void endedUnheard(ServerConnection& connection) override;
    void noticed(const std::shared_ptr<const deployment::Instance>& instance, const balance::ServerNotice& notice,
                 balance::NoticeSource source) override;

private:
    /// \brief A request whose answer is awaited
    struct Awaited
    {
        std::weak_ptr<ServerConnection> connection;
        std::uint64_t                   send{0}; //!< Number of the request on the connection
        core::Timestamp                 sentAt{};
        core::Timestamp                 due{}; //!< When its connection counts as silent
    };

    [[nodiscard]] std::shared_ptr<ServerConnection> add(const std::shared_ptr<const deployment::Instance>& instance,
                                                        paths::DialWays ways = paths::DialWays::Any);

    [[nodiscard]] bool isUsable(const ServerConnection& connection, const deployment::Instance& instance,
                                const OutgoingRequest& request) const;
    void               armSilenceTimer();
    void               checkSilence();
    void               handleSilence(ServerConnection& connection, core::Timestamp sentAt);
    /// \brief Try a server on a new connection, by a health check if its service has one
    void               tryServer(const std::shared_ptr<const deployment::Instance>& instance, paths::DialWays ways);
    /// \brief Ask a helper whether it reaches the server
    void               verify(const std::shared_ptr<const deployment::Instance>& instance);
    /// \brief Learn whether the path to a server that a helper reaches is lost
    void               tryDirectly(const deployment::Instance& server);
    void               reportCounts(const deployment::Instance& instance);
    void               closeIdleWhere(const std::function<bool(const ServerConnection&)>& condition);
    [[nodiscard]] core::Duration idleLimit(const ServerConnection& connection) const;

    using List = std::vector<std::shared_ptr<ServerConnection>>;

    asio::io_context&                  m_context;     //!< Event loop
    const GatewaySettings&             m_settings;    //!< Timeouts and sizes
    const Dialect&                     m_dialect;     //!< Names of header fields
    CountCallback                      m_onCount;     //!< Called when the number of connections changes
    NoticeCallback                     m_onNotice;    //!< Called for notices on answers
    Paths                              m_paths;       //!< State of paths
    std::map<std::string, std::string> m_healthPaths; //!< Paths of health checks, by service
    asio::steady_timer                 m_silenceTimer;
    std::deque<Awaited>                m_awaitedChecks;   //!< Health checks without an answer, in order of sending
    std::deque<Awaited>                m_awaitedRequests; //!< Other requests without an answer
    core::Duration                     m_checkTime{};     //!< Moving average of the time to a health answer
    std::unordered_map<std::string, core::Timestamp> m_silentSince;   //!< Sending of an unanswered request, by instance
    std::unordered_map<std::string, core::Timestamp> m_triedAt;       //!< Last trial of a direct path, by instance
    std::unordered_map<std::string, core::Timestamp> m_verifiedAt;    //!< Last question to a helper, by instance
    std::unordered_map<std::string, core::Timestamp> m_helperHeardAt; //!< Last answer through a helper, by address
    bool                                             m_silenceTimerArmed{false};
    std::unordered_map<std::string, List>            m_byInstance; //!< Connections that are not closed, by instance id
    std::uint64_t                                    m_opened{0};  //!< Connections opened since the process started
    std::set<std::string>                            m_evacuated;  //!< Data centres that are evacuated
};

} // namespace sailpath::gateway::priv
