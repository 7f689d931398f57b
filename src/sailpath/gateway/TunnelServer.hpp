#pragma once

#include "ServedTunnel.hpp"
#include "ServerDial.hpp"

#include <sailpath/adapters/links/TunnelRequest.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string_view>

namespace sailpath::gateway::priv
{
////////////////////////////////////////////////////////////
/// \brief Connects other nodes to servers that they have lost their path to
///
/// Connects to declared servers only, and directly only, so that a tunnel
/// never leads through a second helper.
////////////////////////////////////////////////////////////
class TunnelServer
{
public:
    using FindInstance = std::function<std::shared_ptr<const deployment::Instance>(std::string_view id)>;
    using ProvePath = std::function<void(const deployment::Instance& except)>;

    ////////////////////////////////////////////////////////////
    /// \param findInstance Finds a declared server; returns null for any other
    /// \param provePath    Asks some other servers directly, so that `paths` tells whether any is heard
    /// \param paths        State of this node's own paths; outlives the server
    ////////////////////////////////////////////////////////////
    TunnelServer(asio::io_context& context, const GatewaySettings& settings, Paths& paths, FindInstance findInstance,
                 ProvePath provePath);

    ~TunnelServer(); //!< Breaks all tunnels off
    TunnelServer(const TunnelServer&) = delete;
    TunnelServer& operator=(const TunnelServer&) = delete;

    void serve(adapters::links::TunnelRequest request); //!< Open a tunnel, or tell why not
    void refuseFurther();                               //!< Pass no further requests on through open tunnels
    void stop();                                        //!< Open no further tunnels; those that are open stay

    [[nodiscard]] std::size_t   open() const;   //!< Tunnels that are open or being opened
    [[nodiscard]] std::size_t   busy() const;   //!< Those of them on which an answer is awaited
    [[nodiscard]] std::uint64_t served() const; //!< Tunnels opened since the start
    [[nodiscard]] std::uint64_t denied() const; //!< Requests that were denied since the start

private:
    [[nodiscard]] paths::TunnelStatus admit(const paths::TunnelOpen& open, const deployment::Instance* instance) const;
    [[nodiscard]] std::optional<paths::TunnelStatus> connectFailed(const deployment::Instance& instance, bool refused,
                                                                   bool again);

    asio::io_context&                       m_context;
    const GatewaySettings&                  m_settings;
    Paths&                                  m_paths;
    FindInstance                            m_findInstance;
    ProvePath                               m_provePath;
    core::Timestamp                         m_provedAt{}; //!< Last call of `m_provePath`
    std::set<std::shared_ptr<ServedTunnel>> m_tunnels;    //!< Open or being opened
    std::uint64_t                           m_served{0};
    std::uint64_t                           m_denied{0};
    bool                                    m_stopped{false};
};

} // namespace sailpath::gateway::priv
