#pragma once

#include <sailpath/core/Time.hpp>

#include <cstdint>
#include <optional>

namespace sailpath::state
{
////////////////////////////////////////////////////////////
/// \brief The holder's view of its lease in the store
///
/// The lease is counted from the time at which the request to grant or renew
/// it was sent, so the holder's view expires before the lease in the store.
/// A holder resumed after a pause finds its lease expired by the clock,
/// whatever its state before the pause.
////////////////////////////////////////////////////////////
class HeldLease
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Record that the store granted or renewed the lease
    ///
    /// \param id     Identifier of the lease in the store
    /// \param length Duration of the lease by the answer of the store
    /// \param sentAt Time at which the request was sent
    ////////////////////////////////////////////////////////////
    void recordGrant(std::int64_t id, core::Duration length, core::Timestamp sentAt);

    ////////////////////////////////////////////////////////////
    /// \brief Record that the lease is lost
    ////////////////////////////////////////////////////////////
    void recordLoss();

    ////////////////////////////////////////////////////////////
    /// \brief Return whether the holder may act on the lease now
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool isValid(core::Timestamp now) const;

    ////////////////////////////////////////////////////////////
    /// \brief Return the identifier of the lease in the store; empty when the lease is not valid
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::optional<std::int64_t> id(core::Timestamp now) const;

private:
    static constexpr double safetyMargin = 0.1; //!< Share of the duration withheld for clock drift

    std::int64_t    m_id{0};        //!< Identifier of the lease in the store; 0 for none
    core::Timestamp m_validUntil{}; //!< Time from which the holder must not act on the lease
};

} // namespace sailpath::state
