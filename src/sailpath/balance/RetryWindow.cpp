#include <sailpath/balance/RetryWindow.hpp>

namespace sailpath::balance
{
namespace
{
constexpr int    bucketsPerWindow = 20;
constexpr double margin = 0.9; // Of the share; what is under way between a node and a server shifts the windows

} // namespace

////////////////////////////////////////////////////////////
RetryWindow::RetryWindow(core::Duration window, double ratio, core::Timestamp born) :
m_window(window),
m_ratio(ratio),
m_born(born)
{
}

////////////////////////////////////////////////////////////
void RetryWindow::requested(core::Timestamp now)
{
    ++current(now).requests;
    ++m_requests;
}

////////////////////////////////////////////////////////////
bool RetryWindow::take(double extra, core::Timestamp now)
{
    if (!allows(extra, now))
        return false;
    ++current(now).further;
    ++m_further;
    return true;
}

////////////////////////////////////////////////////////////
bool RetryWindow::allows(double extra, core::Timestamp now)
{
    (void)current(now);
    const double ripe = now - m_born > m_window ? extra : 0.0;
    return m_further + 1.0 <= margin * m_ratio * m_requests + ripe;
}

////////////////////////////////////////////////////////////
RetryWindow::Bucket& RetryWindow::current(core::Timestamp now)
{
    const core::Duration width = m_window / bucketsPerWindow;
    while (!m_buckets.empty() && now - m_buckets.front().start > m_window)
    {
        m_requests -= m_buckets.front().requests;
        m_further -= m_buckets.front().further;
        m_buckets.pop_front();
    }
    if (m_buckets.empty() || now - m_buckets.back().start >= width)
        m_buckets.push_back({now, 0, 0});
    return m_buckets.back();
}

} // namespace sailpath::balance
