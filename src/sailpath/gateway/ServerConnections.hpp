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
/// \brief All connections to servers, by instance
////////////////////////////////////////////////////////////
class ServerConnections
{
public:
    using CountCallback = std::function<void(const deployment::Instance&, unsigned idle, unsigned open)>;

    ServerConnections(asio::io_context& context, const GatewaySettings& settings, const Dialect& dialect,
                      CountCallback onCount, ServerConnection::NoticeCallback onNotice);

    ////////////////////////////////////////////////////////////
    /// \brief A connection at rest, or a new one
    ///
    /// \param proven Only one that rested for a short time
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::shared_ptr<ServerConnection> acquire(const std::shared_ptr<const deployment::Instance>& instance,
                                                            bool recentlyUsed);

    ////////////////////////////////////////////////////////////
    /// \brief Open a further connection to see whether the instance still takes any; it is kept for the next request
    ////////////////////////////////////////////////////////////
    void check(const std::shared_ptr<const deployment::Instance>& instance, ServerConnection::CheckCallback onChecked);

    void closeExpired(); //!< Close what rested for long
    void closeIdle();    //!< Close all that rest

    ////////////////////////////////////////////////////////////
    /// \brief Close what rests, or comes to rest, to instances of evacuated data centres
    ////////////////////////////////////////////////////////////
    void setEvacuated(const std::set<std::string>& dataCentres);

    void closeRestarted(std::span<const deployment::Instance> instances); //!< Close what rests to servers that
                                                                          //!< have started again since

    [[nodiscard]] std::uint64_t opened() const; //!< Connections opened since the start

private:
    [[nodiscard]] std::shared_ptr<ServerConnection> add(const std::shared_ptr<const deployment::Instance>& instance);

    void                         connectionChanged(ServerConnection& connection);
    void                         reportCounts(const deployment::Instance& instance);
    void                         closeIdleWhere(const std::function<bool(const ServerConnection&)>& condition);
    [[nodiscard]] core::Duration idleLimit(const ServerConnection& connection) const;

    using List = std::vector<std::shared_ptr<ServerConnection>>;

    asio::io_context&                     m_context;    //!< Loop
    const GatewaySettings&                m_settings;   //!< Constants
    const Dialect&                        m_dialect;    //!< Names
    CountCallback                         m_onCount;    //!< Told the counts
    ServerConnection::NoticeCallback      m_onNotice;   //!< Told of notices on answers
    std::unordered_map<std::string, List> m_byInstance; //!< Open ones
    std::uint64_t                         m_opened{0};  //!< Since the start
    std::set<std::string>                 m_evacuated;  //!< Data centres
};

} // namespace sailpath::gateway::priv
