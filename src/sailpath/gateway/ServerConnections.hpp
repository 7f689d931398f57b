#pragma once

#include "ServerConnection.hpp"

#include <functional>
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
////////////////////////////////////////////////////////////
class ServerConnections
{
public:
    using CountCallback = std::function<void(const deployment::Instance&, unsigned idle, unsigned open)>;

    ServerConnections(asio::io_context& context, const GatewaySettings& settings, const Dialect& dialect,
                      CountCallback onCount, ServerConnection::NoticeCallback onNotice);

    ////////////////////////////////////////////////////////////
    /// \brief Return an idle connection to the instance, or a new one when none is usable
    ///
    /// \param recentlyUsed True to reuse only connections that have been idle for a short time
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::shared_ptr<ServerConnection> acquire(const std::shared_ptr<const deployment::Instance>& instance,
                                                            bool recentlyUsed);

    ////////////////////////////////////////////////////////////
    /// \brief Open a new connection to check that the instance still accepts any; it stays in the pool
    ////////////////////////////////////////////////////////////
    void check(const std::shared_ptr<const deployment::Instance>& instance, ServerConnection::CheckCallback onChecked);

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

    [[nodiscard]] std::uint64_t opened() const; //!< Connections opened since the process started

private:
    [[nodiscard]] std::shared_ptr<ServerConnection> add(const std::shared_ptr<const deployment::Instance>& instance);

    void                         connectionChanged(ServerConnection& connection);
    void                         reportCounts(const deployment::Instance& instance);
    void                         closeIdleWhere(const std::function<bool(const ServerConnection&)>& condition);
    [[nodiscard]] core::Duration idleLimit(const ServerConnection& connection) const;

    using List = std::vector<std::shared_ptr<ServerConnection>>;

    asio::io_context&                     m_context;    //!< Event loop
    const GatewaySettings&                m_settings;   //!< Timeouts and sizes
    const Dialect&                        m_dialect;    //!< Names of header fields
    CountCallback                         m_onCount;    //!< Called when the number of connections changes
    ServerConnection::NoticeCallback      m_onNotice;   //!< Called for notices on answers
    std::unordered_map<std::string, List> m_byInstance; //!< Connections that are not closed, by instance id
    std::uint64_t                         m_opened{0};  //!< Connections opened since the process started
    std::set<std::string>                 m_evacuated;  //!< Data centres that are evacuated
};

} // namespace sailpath::gateway::priv
