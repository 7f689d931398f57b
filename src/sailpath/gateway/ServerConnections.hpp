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
    using Counted = std::function<void(const deployment::Instance&, unsigned idle, unsigned open)>;

    ServerConnections(asio::io_context& context, const GatewaySettings& settings, const Dialect& dialect,
                      Counted counted, ServerConnection::Noticed noticed);

    ////////////////////////////////////////////////////////////
    /// \brief A connection at rest, or a new one
    ///
    /// \param proven Only one that rested for a short time
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::shared_ptr<ServerConnection> take(const std::shared_ptr<const deployment::Instance>& instance,
                                                         bool                                               proven);

    ////////////////////////////////////////////////////////////
    /// \brief Open a further connection to see whether the instance still takes any; it is kept for the next request
    ////////////////////////////////////////////////////////////
    void check(const std::shared_ptr<const deployment::Instance>& instance, ServerConnection::Checked checked);

    void sweep();     //!< Close what rested for long
    void closeIdle(); //!< Close all that rest

    ////////////////////////////////////////////////////////////
    /// \brief Close what rests, or comes to rest, to instances of evacuated data centres
    ////////////////////////////////////////////////////////////
    void setEvacuated(const std::set<std::string>& dataCentres);

    void closeEarlierLives(std::span<const deployment::Instance> instances); //!< Close what rests to servers that
                                                                             //!< have started again since

    [[nodiscard]] std::uint64_t opened() const; //!< Connections opened since the start

private:
    [[nodiscard]] std::shared_ptr<ServerConnection> add(const std::shared_ptr<const deployment::Instance>& instance);

    void                         changed(ServerConnection& connection);
    void                         count(const deployment::Instance& instance);
    void                         closeWhere(const std::function<bool(const ServerConnection&)>& condition);
    [[nodiscard]] core::Duration restLimit(const ServerConnection& connection) const;

    using List = std::vector<std::shared_ptr<ServerConnection>>;

    asio::io_context&                     m_context;    //!< Loop
    const GatewaySettings&                m_settings;   //!< Constants
    const Dialect&                        m_dialect;    //!< Names
    Counted                               m_counted;    //!< Told the counts
    ServerConnection::Noticed             m_noticed;    //!< Told of notices on answers
    std::unordered_map<std::string, List> m_byInstance; //!< Open ones
    std::uint64_t                         m_opened{0};  //!< Since the start
    std::set<std::string>                 m_evacuated;  //!< Data centres
};

} // namespace sailpath::gateway::priv
