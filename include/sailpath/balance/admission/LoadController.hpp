#pragma once

#include <sailpath/core/Time.hpp>

#include <optional>

namespace sailpath::balance::admission
{
////////////////////////////////////////////////////////////
/// \brief Adapts the share of requests that a node admits to a service to the load that its reports sample
///
/// Answers the load pattern of a burst that drives all instances of a service past the load at which they do most work.
/// A proportional-integral controller on the mean sampled load, as PIE (RFC 8033) is one on the delay of a queue.
////////////////////////////////////////////////////////////
class LoadController
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Record a load report
    ///
    /// \param load     Requests held by the instance, per slot
    /// \param bestLoad Load at which the instances together do most work, per slot
    ////////////////////////////////////////////////////////////
    void record(double load, double bestLoad, core::Timestamp now);

    [[nodiscard]] double load() const;                        //!< Mean of the recent reports, per slot
    [[nodiscard]] double admitted(core::Timestamp now) const; //!< Share of the requests to admit, 0 to 1

private:
    [[nodiscard]] double integral(core::Timestamp now) const;

    double                         m_weight{0};   //!< Decaying count of reports
    double                         m_sum{0};      //!< Decaying sum of their loads
    double                         m_excess{0};   //!< Mean load relative to the best one, less 1
    double                         m_integral{1}; //!< Share of the requests, before the proportional term
    std::optional<core::Timestamp> m_lastAt;      //!< Time of the last report
};

} // namespace sailpath::balance::admission
