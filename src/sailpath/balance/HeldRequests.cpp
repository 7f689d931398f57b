#include <sailpath/balance/HeldRequests.hpp>

#include <algorithm>
#include <utility>

namespace sailpath::balance
{
namespace
{
constexpr std::size_t maxRequests = 1024;
constexpr std::size_t maxTextBytes = 1024UL * 1024; // A head may have 64 KB until the operators' limit is known

////////////////////////////////////////////////////////////
/// \brief Return when the caller stops waiting; for one that does not say, when it is refused
////////////////////////////////////////////////////////////
core::Timestamp callerDeadline(const HeldRequest& request)
{
    return request.timeLeft ? request.firstByteAt + *request.timeLeft : request.until;
}

} // namespace

////////////////////////////////////////////////////////////
std::size_t HeldRequests::bytesOf(const HeldRequest& request)
{
    return request.host.size() + request.target.size() + request.key.size();
}

////////////////////////////////////////////////////////////
HeldRequests::ByExpiry::iterator HeldRequests::erase(ByExpiry::iterator request)
{
    m_bytes -= bytesOf(request->second);
    return m_requests.erase(request);
}

////////////////////////////////////////////////////////////
void HeldRequests::add(HeldRequest request)
{
    ++m_counts.held;
    m_bytes += bytesOf(request);
    const core::Timestamp until = request.until;
    m_requests.emplace(until, std::move(request));
    while (m_requests.size() > maxRequests || m_bytes > maxTextBytes)
    {
        m_displaced.push_back(m_requests.begin()->second.ticket);
        erase(m_requests.begin());
        ++m_counts.displaced;
    }
}

////////////////////////////////////////////////////////////
void HeldRequests::remove(Ticket ticket)
{
    const auto found = std::find_if(m_requests.begin(), m_requests.end(),
                                    [ticket](const auto& held) { return held.second.ticket == ticket; });
    if (found == m_requests.end())
        return;
    erase(found);
    ++m_counts.left;
}

////////////////////////////////////////////////////////////
std::vector<Ticket> HeldRequests::takeRefused(core::Timestamp now)
{
    std::vector<Ticket> refused = std::exchange(m_displaced, {});
    while (!m_requests.empty() && m_requests.begin()->first <= now)
    {
        refused.push_back(m_requests.begin()->second.ticket);
        erase(m_requests.begin());
        ++m_counts.expired;
    }
    return refused;
}

////////////////////////////////////////////////////////////
std::vector<HeldRequest> HeldRequests::takeAll()
{
    std::vector<HeldRequest> all;
    all.reserve(m_requests.size());
    for (auto& [until, request] : m_requests)
        all.push_back(std::move(request));
    std::stable_sort(all.begin(), all.end(),
                     [](const HeldRequest& left, const HeldRequest& right)
                     { return callerDeadline(left) > callerDeadline(right); });
    m_counts.admitted += all.size();
    m_requests.clear();
    m_bytes = 0;
    return all;
}

////////////////////////////////////////////////////////////
std::optional<core::Timestamp> HeldRequests::nextDue() const
{
    if (m_requests.empty())
        return std::nullopt;
    return m_requests.begin()->first;
}

////////////////////////////////////////////////////////////
std::size_t HeldRequests::size() const
{
    return m_requests.size();
}

////////////////////////////////////////////////////////////
const HeldCounts& HeldRequests::counts() const
{
    return m_counts;
}

} // namespace sailpath::balance
