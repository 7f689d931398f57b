#pragma once

#include <sailpath/core/Time.hpp>

namespace sailpath::limits
{
////////////////////////////////////////////////////////////
/// \brief Token bucket that bounds the server time spent on probes
///
/// The bucket starts empty and holds at most the cost of one probe, so that
/// a new holder of the prober lease cannot spend again what the previous
/// holder spent. A probe is charged before it is sent and never refunded,
/// whatever its outcome.
////////////////////////////////////////////////////////////
class ProbeTimeBudget
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Create an empty budget
    ///
    /// \param rate Server time in milliseconds that accrues per second
    /// \param now  Current time
    ////////////////////////////////////////////////////////////
    ProbeTimeBudget(double rate, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Charge the cost of a probe if the budget covers it
    ///
    /// \param cost Server time that the probe uses
    /// \param now  Current time
    ///
    /// \return Whether the probe may be sent
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool charge(core::Duration cost, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Change the rate and keep the accrued balance
    ////////////////////////////////////////////////////////////
    void setRate(double rate, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Return the server time in milliseconds charged since the creation of the budget
    ////////////////////////////////////////////////////////////
    [[nodiscard]] double spent() const;

private:
    void accrue(core::Timestamp now, double maxBalance);

    double          m_rate;       //!< Server time in milliseconds that accrues per second
    double          m_balance{0}; //!< Server time in milliseconds that may be charged now
    double          m_spent{0};   //!< Server time in milliseconds charged in total
    core::Timestamp m_accruedAt;  //!< Time up to which the balance has accrued
};

} // namespace sailpath::limits
