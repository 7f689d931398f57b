#pragma once

#include <sailpath/core/Time.hpp>

namespace sailpath::limits
{
////////////////////////////////////////////////////////////
/// \brief Allowance of server time for probes; a hard ceiling
///
/// Starts empty and saves at most the cost of one probe, so that a new
/// holder of the right to probe cannot spend again what the last one spent.
/// A probe is charged before it is sent and never refunded, whatever
/// becomes of it.
////////////////////////////////////////////////////////////
class ProbeTimeBudget
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Create an empty allowance
    ///
    /// \param rate Server-milliseconds a second
    /// \param now  Current time
    ////////////////////////////////////////////////////////////
    ProbeTimeBudget(double rate, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Charge a probe
    ///
    /// \param cost Server time that the probe takes
    /// \param now  Current time
    ///
    /// \return Whether the probe may be sent
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool charge(core::Duration cost, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Change the rate; what was saved stays
    ////////////////////////////////////////////////////////////
    void setRate(double rate, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Server-milliseconds charged since the start
    ////////////////////////////////////////////////////////////
    [[nodiscard]] double spent() const;

private:
    void accrue(core::Timestamp now, double most);

    double          m_rate;      //!< Server-milliseconds a second
    double          m_saved{0};  //!< Server-milliseconds that may be charged
    double          m_spent{0};  //!< Charged since the start
    core::Timestamp m_accruedAt; //!< Time up to which the rate was added
};

} // namespace sailpath::limits
