#pragma once

#include <sailpath/claims/Claim.hpp>
#include <sailpath/core/Time.hpp>
#include <sailpath/ports/Store.hpp>

#include <functional>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace sailpath::claims
{
////////////////////////////////////////////////////////////
/// \brief Makes claims durable in the store, many by one write
///
/// All keys of a batch are created by one transaction that fails when any
/// exists. The ones that exist are duplicates; the others are tried again.
/// An answer that is lost is resolved by reading back the tokens.
////////////////////////////////////////////////////////////
class ClaimWriter
{
public:
    using Clock = std::function<core::Timestamp()>;

    ////////////////////////////////////////////////////////////
    /// \brief Create a writer
    ///
    /// \param store The store; outlives the writer
    /// \param clock Readings of the steady clock
    ////////////////////////////////////////////////////////////
    ClaimWriter(ports::Store& store, Clock clock);

    ////////////////////////////////////////////////////////////
    /// \brief Commit a batch
    ///
    /// \param batch Claims, each key once
    ///
    /// \return A verdict for each, in order
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::vector<ClaimVerdict> commit(std::span<const Claim> batch);

    ////////////////////////////////////////////////////////////
    /// \brief Take back a claim whose request certainly did not run
    ///
    /// \return False when the store does not say; to be tried again
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool release(const Claim& claim);

private:
    struct Lease
    {
        std::int64_t    id{0};     //!< The store's id
        core::Timestamp renewAt{}; //!< New claims need another lease from here on
    };

    [[nodiscard]] std::int64_t leaseFor(core::Duration window);
    void resolve(std::span<const Claim> batch, std::span<const std::size_t> open, std::vector<ClaimVerdict>& verdicts);
    [[nodiscard]] bool attempt(std::span<const Claim> batch, std::vector<std::size_t>& open,
                               std::vector<ClaimVerdict>& verdicts);

    ports::Store&                   m_store;  //!< The store
    Clock                           m_clock;  //!< Steady clock
    std::map<core::Duration, Lease> m_leases; //!< By window
};

} // namespace sailpath::claims
