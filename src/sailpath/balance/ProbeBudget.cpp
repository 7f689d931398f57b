#include <sailpath/balance/ProbeBudget.hpp>

#include <algorithm>

namespace sailpath::balance
{
namespace
{
constexpr double mostSavedSeconds = 5; // Worth of probes. With two seconds' worth one refusal in four under a burst was
                                       // given without asking any server
constexpr auto firstWorth = std::chrono::seconds{2}; // That a life begins with: nodes that start in a shortage and ask
                                                     // little flood full servers (0.42 for 0.53 of the requests that
                                                     // the servers can do are in time at twice the load, model)

} // namespace

////////////////////////////////////////////////////////////
ProbeBudget::ProbeBudget(core::Timestamp born) :
m_at(born - firstWorth)
{
}

////////////////////////////////////////////////////////////
bool ProbeBudget::take(double perSecond, core::Timestamp now)
{
    m_left = std::min(perSecond * mostSavedSeconds, m_left + perSecond * core::toSeconds(now - m_at));
    m_at = now;
    if (m_left < 1)
        return false;
    m_left -= 1;
    return true;
}

} // namespace sailpath::balance
