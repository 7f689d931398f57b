#pragma once

#include <sailpath/core/Time.hpp>

#include <cstdint>
#include <optional>

namespace sailpath::state
{
////////////////////////////////////////////////////////////
/// \brief A holder's own view of its lease in the store
///
/// The lease counts from before each request was sent, so this view ends
/// before the store's does. A holder that was paused finds it ended by the
/// clock, whatever it believed when it was paused.
////////////////////////////////////////////////////////////
class HeldLease
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Note that the store granted or renewed the lease
    ///
    /// \param id     The store's id
    /// \param length Length that the store answered
    /// \param sentAt Time at which the request was sent
    ////////////////////////////////////////////////////////////
    void recordGrant(std::int64_t id, core::Duration length, core::Timestamp sentAt);

    ////////////////////////////////////////////////////////////
    /// \brief Note that the lease is gone
    ////////////////////////////////////////////////////////////
    void recordLoss();

    ////////////////////////////////////////////////////////////
    /// \brief Whether the holder may act on it now
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool isValid(core::Timestamp now) const;

    ////////////////////////////////////////////////////////////
    /// \brief The store's id while the lease is held
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::optional<std::int64_t> id(core::Timestamp now) const;

private:
    static constexpr double margin = 0.1; //!< Share of the length kept back for clocks that run unevenly

    std::int64_t    m_id{0};        //!< The store's id; 0 for none
    core::Timestamp m_validUntil{}; //!< Nothing may be done from here on
};

} // namespace sailpath::state
