#pragma once

#include <sailpath/adapters/http/Ingress.hpp>
#include <sailpath/adapters/settings/Endpoint.hpp>
#include <sailpath/control/ControlThread.hpp>
#include <sailpath/entry/SharedDispatcher.hpp>
#include <sailpath/metrics/TrafficMetrics.hpp>

#include <atomic>
#include <memory>
#include <string>

namespace sailpath::programs
{
////////////////////////////////////////////////////////////
/// \brief What the status pages of an entry show
////////////////////////////////////////////////////////////
struct EntryParts
{
    std::string                    node;    //!< Name of this VM
    control::ControlThread&        control; //!< Control state
    entry::SharedDispatcher&       door;    //!< Decisions
    metrics::TrafficMetrics&       metrics; //!< Counts
    const adapters::http::Ingress& ingress; //!< Connections
    const std::atomic<bool>&       leaving; //!< A planned stop has begun
};

////////////////////////////////////////////////////////////
/// \brief The pages `/health`, `/metrics` and `/status` on a port of their own
////////////////////////////////////////////////////////////
class EntryStatus
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Listen and serve
    ///
    /// \param listen Where to listen
    /// \param parts  What to show
    ///
    /// \throws std::runtime_error when the address cannot be listened on
    ////////////////////////////////////////////////////////////
    EntryStatus(const adapters::settings::Endpoint& listen, EntryParts parts);

    ~EntryStatus();
    EntryStatus(const EntryStatus&) = delete;
    EntryStatus& operator=(const EntryStatus&) = delete;

    [[nodiscard]] std::uint16_t port() const; //!< Port in use

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl; //!< The library's server
};

} // namespace sailpath::programs
