#include <sailpath/balance/RetryWindow.hpp>

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
    ++m_requests;
}

////////////////////////////////////////////////////////////
bool RetryWindow::take(double extra, core::Timestamp now)
{
    if (!allows(extra, now))
        return false;
    ++current(now).retries;
    ++m_retries;
    return true;
}

////////////////////////////////////////////////////////////
bool RetryWindow::allows(double extra, core::Timestamp now)
{
    (void)current(now);
    const double grantedExtra = now - m_startedAt > m_window ? extra : 0.0;
    return m_retries + 1.0 <= ratioMargin * m_ratio * m_requests + grantedExtra;
}

////////////////////////////////////////////////////////////
RetryWindow::Bucket& RetryWindow::current(core::Timestamp now)
{
    const core::Duration width = m_window / bucketsPerWindow;
    while (!m_buckets.empty() && now - m_buckets.front().start > m_window)
    {
        m_requests -= m_buckets.front().requests;
        m_retries -= m_buckets.front().retries;
        m_buckets.pop_front();
    }
    if (m_buckets.empty() || now - m_buckets.back().start >= width)
        m_buckets.push_back({now, 0, 0});
    return m_buckets.back();
}

} // namespace sailpath::balance
