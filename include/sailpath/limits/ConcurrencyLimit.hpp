#pragma once

#include <sailpath/core/Time.hpp>

namespace sailpath::limits
{
////////////////////////////////////////////////////////////
/// \brief Parameters of the adaptive concurrency limit
////////////////////////////////////////////////////////////
struct ConcurrencySettings
{
    double         minLimit{0.1};        //!< Smallest limit; below 1, as the limits of a pool are summed
    double         overloadRatio{1.7};   //!< Requests of all nodes per slot above which the limit decreases
    double         decreaseFactor{0.85}; //!< Factor applied to the limit at a decrease
    double         increaseStep{0.25};   //!< Increase per successful answer at a limit of 1
    core::Duration decreaseInterval{std::chrono::milliseconds{20}}; //!< Minimum time between two decreases
};

////////////////////////////////////////////////////////////
/// \brief Adaptive limit of the requests that one node keeps in flight at one server
///
/// The limit grows while the server answers with little queueing and
/// decreases by a factor when the server is overloaded or sheds load. The
/// limit may fall below one: the limits of a pool are summed, so that many
/// nodes can share few slots.
////////////////////////////////////////////////////////////
class ConcurrencyLimit
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Create a limit that starts at the number of slots
    ///
    /// \param slots    Requests that the server processes concurrently
    /// \param maxLimit Largest limit, usually the number of the server's connections
    /// \param settings Parameters of the adaptation
    ////////////////////////////////////////////////////////////
    ConcurrencyLimit(unsigned slots, unsigned maxLimit, ConcurrencySettings settings);

    ////////////////////////////////////////////////////////////
    /// \brief Record a successful answer and adapt the limit
    ///
    /// \param occupancy   Estimated requests of all nodes in flight at the server
    /// \param ownInFlight Requests of this node in flight at the server when it answered
    /// \param now         Current time
    ////////////////////////////////////////////////////////////
    void recordSuccess(double occupancy, unsigned ownInFlight, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Record that the server shed a request, and decrease the limit
    ////////////////////////////////////////////////////////////
    void recordRejection(core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Return the limit in requests, which may be fractional
    ////////////////////////////////////////////////////////////
    [[nodiscard]] double value() const;

private:
    void decrease(core::Timestamp now);

    double              m_slots;          //!< Requests that the server processes concurrently
    double              m_maxLimit;       //!< Largest limit
    ConcurrencySettings m_settings;       //!< Parameters of the adaptation
    double              m_limit;          //!< Current limit in requests
    core::Timestamp     m_nextDecrease{}; //!< Earliest time of the next decrease
};

} // namespace sailpath::limits
