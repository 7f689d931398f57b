#pragma once

#include <sailpath/core/Time.hpp>

namespace sailpath::limits
{
////////////////////////////////////////////////////////////
/// \brief Constants of the adaptive limit
////////////////////////////////////////////////////////////
struct ConcurrencySettings
{
    double         minLimit{0.1};        //!< Smallest limit; fractions add up over a pool
    double         overloadRatio{1.7};   //!< Requests a slot, of all nodes, above which to back off
    double         decreaseFactor{0.85}; //!< Factor of a decrease
    double         increaseStep{0.25};   //!< Growth per good answer at limit 1
    core::Duration decreaseInterval{std::chrono::milliseconds{20}}; //!< Least time between two decreases
};

////////////////////////////////////////////////////////////
/// \brief How many requests one node keeps at one server; adapts to what the server bears
///
/// Grows while answers come with little queueing, shrinks by a factor when
/// the server is over-full or sheds load. May fall below one: the limits of
/// a pool are added up, so that many nodes can share few slots.
////////////////////////////////////////////////////////////
class ConcurrencyLimit
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Start at the number of slots
    ///
    /// \param slots    Requests the server works on at once
    /// \param most     Largest limit, usually the server's connections
    /// \param settings Constants
    ////////////////////////////////////////////////////////////
    ConcurrencyLimit(unsigned slots, unsigned most, ConcurrencySettings settings);

    ////////////////////////////////////////////////////////////
    /// \brief Learn from a good answer
    ///
    /// \param occupancy Estimated requests at the server, of all nodes
    /// \param own       Own requests at the server when it answered
    /// \param now       Current time
    ////////////////////////////////////////////////////////////
    void recordSuccess(double occupancy, unsigned own, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Learn that the server shed a request
    ////////////////////////////////////////////////////////////
    void recordRejection(core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief The limit, a fraction of a request included
    ////////////////////////////////////////////////////////////
    [[nodiscard]] double value() const;

private:
    void decrease(core::Timestamp now);

    double              m_slots;          //!< Requests worked on at once
    double              m_most;           //!< Largest limit
    ConcurrencySettings m_settings;       //!< Constants
    double              m_limit;          //!< Current limit
    core::Timestamp     m_nextDecrease{}; //!< No decrease before this
};

} // namespace sailpath::limits
