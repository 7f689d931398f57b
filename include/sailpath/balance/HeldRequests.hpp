#pragma once

#include <sailpath/balance/Step.hpp>
#include <sailpath/core/Time.hpp>
#include <sailpath/deployment/CrashReport.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sailpath::balance
{
////////////////////////////////////////////////////////////
/// \brief A request that arrived before the first configuration
////////////////////////////////////////////////////////////
struct HeldRequest
{
    Ticket                        ticket{0};
    std::string                   host;
    std::string                   target;
    std::string                   key;
    core::Timestamp               firstByteAt{};
    std::optional<core::Duration> timeLeft; //!< Time that the caller waits after the first byte, if it says so
    core::Timestamp               until{};  //!< When the request is refused

    std::optional<deployment::RequestIdentity> identity;
    bool                                       firstOnConnection{false};
};

////////////////////////////////////////////////////////////
/// \brief What became of held requests since the start of the process
////////////////////////////////////////////////////////////
struct HeldCounts
{
    std::uint64_t held{0};      //!< Requests that were held
    std::uint64_t admitted{0};  //!< Decided by the first configuration
    std::uint64_t expired{0};   //!< Refused, as no configuration came in time
    std::uint64_t displaced{0}; //!< Refused, as too many were held
    std::uint64_t left{0};      //!< The caller disconnected
};

////////////////////////////////////////////////////////////
/// \brief Keeps the requests that arrive before the first configuration
///
/// Load pattern: all nodes lose power, and their callers return while the new
/// processes wait 0.3 to 0.5 s for their first configuration. A request that
/// is refused meanwhile uses up one of its caller's few retries.
///
/// The number and the size of the requests are bounded. When a bound is
/// reached, the request that would be refused first makes room. Does no input
/// or output and reads no clock.
////////////////////////////////////////////////////////////
class HeldRequests
{
public:
    void add(HeldRequest request); //!< Hold a request, in place of others if too many are held
    void remove(Ticket ticket);    //!< The caller of the request, if it is held, disconnected

    [[nodiscard]] std::vector<Ticket> takeRefused(core::Timestamp now); //!< Remove the displaced and the expired

    ////////////////////////////////////////////////////////////
    /// \brief Remove all requests, for admission
    ///
    /// \return Those whose callers wait longest first: among callers with the same timeout, these are the latest to
    ///         have started, and most of them can still be answered in time
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::vector<HeldRequest> takeAll();

    [[nodiscard]] std::optional<core::Timestamp> nextDue() const; //!< When the next request expires; null for never
    [[nodiscard]] std::size_t                    size() const;
    [[nodiscard]] const HeldCounts&              counts() const;

private:
    using ByExpiry = std::multimap<core::Timestamp, HeldRequest>;

    [[nodiscard]] static std::size_t bytesOf(const HeldRequest& request);
    ByExpiry::iterator               erase(ByExpiry::iterator request);

    ByExpiry            m_requests;  //!< By `HeldRequest::until`
    std::vector<Ticket> m_displaced; //!< For `takeRefused`
    std::size_t         m_bytes{0};  //!< Size of the requests' texts
    HeldCounts          m_counts;
};

} // namespace sailpath::balance
