#pragma once

#include <sailpath/node/ControlAction.hpp>
#include <sailpath/node/ControllerSettings.hpp>
#include <sailpath/node/LeaseAnswer.hpp>
#include <sailpath/ports/Store.hpp>

#include <cstdint>

namespace sailpath::control
{
////////////////////////////////////////////////////////////
/// \brief Acquires and renews the right to probe: a key in the store that is bound to a lease
////////////////////////////////////////////////////////////
class ProbingLease
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Create a client of the lease
    ///
    /// \param store    The store; must outlive this object
    /// \param settings Name of this VM and duration of leases; must outlive this object
    ////////////////////////////////////////////////////////////
    ProbingLease(ports::Store& store, const node::ControllerSettings& settings);

    ////////////////////////////////////////////////////////////
    /// \brief Obtain or renew a lease, and create the key of the group under the lease
    ////////////////////////////////////////////////////////////
    [[nodiscard]] node::LeaseAnswer acquire(const node::AcquireLease& action);

    ////////////////////////////////////////////////////////////
    /// \brief Renew the lease `lease`
    ////////////////////////////////////////////////////////////
    [[nodiscard]] node::LeaseAnswer renew(std::int64_t lease);

private:
    ports::Store&                   m_store;    //!< Store that holds leases and keys
    const node::ControllerSettings& m_settings; //!< Name of this VM and duration of leases
};

} // namespace sailpath::control
