#include <sailpath/balance/RetryWindow.hpp>

#include <algorithm>

namespace sailpath::balance
{
namespace
{
constexpr int    bucketsPerWindow = 20;
// Used part of the ratio. Requests in transit between a node and a server shift the windows against each other.
constexpr double ratioMargin = 0.9;

} // namespace

////////////////////////////////////////////////////////////
RetryWindow::RetryWindow(core::Duration window, double ratio, core::Timestamp startedAt) :
m_window(window),
m_ratio(ratio),
m_startedAt(startedAt)
{
}

////////////////////////////////////////////////////////////
void RetryWindow::recordRequest(core::Timestamp now)
{
    ++current(now).requests;
}

////////////////////////////////////////////////////////////
bool RetryWindow::take(double extra, core::Timestamp now)
{
    if (!allows(extra, now))
        return false;
    recordRetry(now);
    return true;
}

////////////////////////////////////////////////////////////
void RetryWindow::recordRetry(core::Timestamp now)
{
    ++current(now).retries;
}

////////////////////////////////////////////////////////////
bool RetryWindow::allows(double extra, core::Timestamp now) const
{
    return left(extra, now) >= 1;
}

////////////////////////////////////////////////////////////
double RetryWindow::left(double extra, core::Timestamp now) const
{
    const retry::BudgetUse used = use(extra, now);
    return std::max(0.0, used.allowed - used.retries);
}

////////////////////////////////////////////////////////////
retry::BudgetUse RetryWindow::use(double extra, core::Timestamp now) const
{
    unsigned requests = 0;
    unsigned retries = 0;
    for (const Bucket& bucket : m_buckets)
    {
        if (now - bucket.start > m_window)
            continue;
        requests += bucket.requests;
        retries += bucket.retries;
    }
    const double grantedExtra = now - m_startedAt > m_window ? extra : 0.0;
    return {ratioMargin * m_ratio * requests + grantedExtra, static_cast<double>(retries)};
}

////////////////////////////////////////////////////////////
RetryWindow::Bucket& RetryWindow::current(core::Timestamp now)
{
    const core::Duration width = m_window / bucketsPerWindow;
    while (!m_buckets.empty() && now - m_buckets.front().start > m_window)
        m_buckets.pop_front();
    if (m_buckets.empty() || now - m_buckets.back().start >= width)
        m_buckets.push_back({now, 0, 0});
    return m_buckets.back();
}

} // namespace sailpath::balance
