#include <sailpath/balance/ProbeBudget.hpp>

#include <algorithm>

namespace sailpath::balance
{
namespace
{
constexpr double burstSeconds = 5; // Worth of probes. With two seconds' worth one refusal in four under a burst was
                                   // given without asking any server
constexpr auto   initialCredit =
    std::chrono::seconds{2}; // That a life begins with: nodes that start in a shortage and ask
                             // little flood full servers (0.42 for 0.53 of the requests that
                             // the servers can do are in time at twice the load, model)

} // namespace

////////////////////////////////////////////////////////////
ProbeBudget::ProbeBudget(core::Timestamp startedAt) :
m_tokensAt(startedAt - initialCredit)
{
}

////////////////////////////////////////////////////////////
bool ProbeBudget::take(double perSecond, core::Timestamp now)
{
    m_tokens = std::min(perSecond * burstSeconds, m_tokens + perSecond * core::toSeconds(now - m_tokensAt));
    m_tokensAt = now;
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

} // namespace sailpath::balance
