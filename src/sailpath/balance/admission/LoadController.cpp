#include <sailpath/balance/admission/LoadController.hpp>

#include <algorithm>
#include <cmath>

namespace sailpath::balance::admission
{
namespace
{
constexpr double loadDecayMs = 400;     // Decay time of the reports in the mean load
constexpr double integralPerSecond = 3; // Relative change of the share a second, per relative excess of load
constexpr double proportion = 0.5;      // Relative change of the share at once, per relative excess of load
constexpr double minShare = 0.05;       // Leaves enough requests to sample the load
constexpr double maxIntegral = 1.5;     // Above 1, so that a short excess of the noisy mean refuses nothing
constexpr double maxStepSeconds = 1;    // Longest time that one report speaks for
constexpr double recoveryPerSecond = 1; // Relative rise of the share a second without reports
constexpr double maxExcess = 1;         // Bound of one step's excess

} // namespace

////////////////////////////////////////////////////////////
void LoadController::record(double load, double bestLoad, core::Timestamp now)
{
    const double stepSeconds = m_lastAt ? std::max(0.0, core::toSeconds(now - *m_lastAt)) : maxStepSeconds;
    const double decay = std::exp(-1000 * stepSeconds / loadDecayMs);
    m_integral = integral(now);
    m_weight = m_weight * decay + 1;
    m_sum = m_sum * decay + load;
    m_excess = std::min(maxExcess, this->load() / bestLoad - 1);
    const double change = std::exp(-integralPerSecond * m_excess * std::min(stepSeconds, maxStepSeconds));
    m_integral = std::clamp(m_integral * change, minShare, maxIntegral);
    m_lastAt = now;
}

////////////////////////////////////////////////////////////
double LoadController::load() const
{
    return m_weight > 0 ? m_sum / m_weight : 0;
}

////////////////////////////////////////////////////////////
double LoadController::integral(core::Timestamp now) const
{
    const double silent = m_lastAt ? core::toSeconds(now - *m_lastAt) - maxStepSeconds : 0;
    return silent <= 0 ? m_integral : std::min(maxIntegral, m_integral * std::exp(recoveryPerSecond * silent));
}

////////////////////////////////////////////////////////////
double LoadController::admitted(core::Timestamp now) const
{
    const double share = integral(now) * (1 - proportion * m_excess);
    return std::clamp(share, minShare, 1.0);
}

} // namespace sailpath::balance::admission
