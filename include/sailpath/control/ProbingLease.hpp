#pragma once

#include <sailpath/node/ControlAction.hpp>
#include <sailpath/node/ControllerSettings.hpp>
#include <sailpath/node/LeaseAnswer.hpp>
#include <sailpath/ports/Store.hpp>

#include <cstdint>

namespace sailpath::control
{
////////////////////////////////////////////////////////////
/// \brief The right to probe, as a key in the store under a lease
////////////////////////////////////////////////////////////
class ProbingLease
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Create
    ///
    /// \param store    The store; outlives this
    /// \param settings Name of this VM and length of leases; outlive this
    ////////////////////////////////////////////////////////////
    ProbingLease(ports::Store& store, const node::ControllerSettings& settings);

    ////////////////////////////////////////////////////////////
    /// \brief Be granted a lease if there is none, and create the group's key under it
    ////////////////////////////////////////////////////////////
    [[nodiscard]] node::LeaseAnswer acquire(const node::AcquireLease& action);

    ////////////////////////////////////////////////////////////
    /// \brief Renew a lease
    ////////////////////////////////////////////////////////////
    [[nodiscard]] node::LeaseAnswer renew(std::int64_t lease);

private:
    ports::Store&                   m_store;    //!< The store
    const node::ControllerSettings& m_settings; //!< Name and length
};

} // namespace sailpath::control
