#include <sailpath/retries/RetryBudget.hpp>

#include <algorithm>

namespace sailpath::retries
{
////////////////////////////////////////////////////////////
RetryBudget::RetryBudget(double share) :
m_share(share)
{
}

////////////////////////////////////////////////////////////
void RetryBudget::setShare(double share)
{
    m_share = share;
}

////////////////////////////////////////////////////////////
void RetryBudget::firstAttempt()
{
    m_saved = std::min(mostSaved, m_saved + m_share);
}

////////////////////////////////////////////////////////////
bool RetryBudget::take()
{
    if (m_saved < 1.0)
        return false;
    m_saved -= 1.0;
    return true;
}

} // namespace sailpath::retries
