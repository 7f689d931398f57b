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
void RetryBudget::recordFirstAttempt()
{
    m_tokens = std::min(maxTokens, m_tokens + m_share);
}

////////////////////////////////////////////////////////////
bool RetryBudget::tryConsume()
{
    if (m_tokens < 1.0)
        return false;
    m_tokens -= 1.0;
    return true;
}

} // namespace sailpath::retries
