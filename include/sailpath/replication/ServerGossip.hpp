#pragma once

#include <sailpath/core/Time.hpp>
#include <sailpath/replication/Message.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace sailpath::replication
{
////////////////////////////////////////////////////////////
/// \brief Link on which a report was received
////////////////////////////////////////////////////////////
struct ReportSource
{
    std::uint64_t link{0};          //!< Number of the link; 0 for a report of this node
    bool          fromRelay{false}; //!< The peer is a relay that this node follows
};

////////////////////////////////////////////////////////////
/// \brief Collects and forwards the nodes' reports on servers: failures, ends under requests, limits
///
/// Load pattern: some servers fail a part of their requests while their health
/// checks pass. With hundreds of nodes, each node sends to a given server only
/// every 17 s or more, so what a single node observes comes too late; the fleet
/// as a whole sees the server fail twice within a second or two.
///
/// A node sends its own reports and those of its followers to its relays, and
/// all reports to its followers. Each report is accepted once, whatever number
/// of paths it arrives on and in whatever order.
///
/// Ends of servers under requests are sent at once, as the same request may
/// already be on its way to the next server. So are the requests sent to
/// servers near a limit that all nodes share, because each node needs the sum
/// to keep within the limit (`balance::SharedLimit`).
///
/// Limits: one report per node and interval, with a bounded number of servers.
/// Reports are kept for a few seconds only, so that a node that was
/// disconnected does not forward outdated reports.
////////////////////////////////////////////////////////////
class ServerGossip
{
public:
    static constexpr std::chrono::milliseconds batchDelay{60}; //!< Delay that batches limits which are not near

    explicit ServerGossip(std::uint32_t self);

    void recordFailure(std::uint32_t server); //!< Records that a server failed a request of this node
    void recordEnd(const EndRecord& record, core::Timestamp at); //!< Records that a server ended under a request
    void recordServed(
        const core::ContentHash& content); //!< Records that a request whose server had ended was answered after all
    void receive(std::span<const ServerReport> reports, ReportSource source,
                 core::Timestamp now); //!< Accepts the new ones among a peer's reports
    void recordLimit(const LimitRecord& record,
                     core::Timestamp    at); //!< Records a limit as announced at a time, and requests sent under it
    void tick(core::Timestamp now); //!< Drops expired reports; makes a report of this node's records if one is due

    [[nodiscard]] std::uint64_t reportCount() const; //!< Returns the number of all reports so far
    [[nodiscard]] std::optional<core::Timestamp>
    nextReportDue() const; //!< Returns when a report of ends, answers or limits is due; null if there are none
    [[nodiscard]] bool hasUrgentSince(std::uint64_t count) const; //!< Whether a report after `count` is urgent
    [[nodiscard]] bool hasLimitsSince(std::uint64_t count) const; //!< Whether a report after `count` holds limits
    [[nodiscard]] std::vector<ServerReport>
    reportsForFollower(std::uint64_t count,
                       std::uint64_t link) const; //!< Returns reports after `count` that did not come on the link
    [[nodiscard]] std::optional<ServerReport>
    currentLimits(core::Timestamp now) const; //!< Returns the strictest known limits; null if there are none
    [[nodiscard]] std::vector<ServerReport>
    reportsForRelay(std::uint64_t count) const; //!< Returns reports after `count` that did not come from a relay
    [[nodiscard]] std::vector<ServerReport> takeReceived(); //!< Returns other nodes' reports since the last call

private:
    struct Entry
    {
        ServerReport    report;
        ReportSource    source;
        core::Timestamp at; //!< Time at which this node received or made the report
    };

    /// \brief Records of this node that are not reported yet
    struct Pending
    {
        std::vector<std::uint32_t>                           servers; //!< Servers that failed a request
        std::vector<std::pair<EndRecord, core::Timestamp>>   ends;    //!< Ends of servers with their times
        std::vector<core::ContentHash>                       served;  //!< Requests answered after such an end
        std::vector<std::pair<LimitRecord, core::Timestamp>> limits;  //!< One per server, with the time of the limit
    };

    /// \brief Latest limit of a server that this node received or reported
    struct KnownLimit
    {
        LimitRecord     record;
        core::Timestamp at; //!< Time at which the server announced the limit
    };

    /// \brief Numbers of the reports of one origin that were accepted within their lifetime
    struct AcceptedNumbers
    {
        std::uint32_t           last{0}; //!< Highest number
        std::set<std::uint32_t> recent;  //!< Numbers that lag behind the last by less than the lifetime of a report
    };

    [[nodiscard]] bool isNew(const ServerReport& report) const;
    void               recordAccepted(const ServerReport& report);
    void               rememberLimits(const ServerReport& report, core::Timestamp now);
    void               append(ServerReport report, const ReportSource& source, core::Timestamp now);
    [[nodiscard]] bool isReportDue(core::Timestamp now) const;

    std::uint32_t                            m_self;            //!< Hash of this node's address
    Pending                                  m_pending;         //!< Records since this node's last report
    core::Timestamp                          m_nextRegularAt{}; //!< Earliest next report of failures alone
    core::Timestamp                          m_nextLimitsAt{};  //!< Earliest next report of limits that are not near
    core::Timestamp                          m_nextUrgentAt{};  //!< Earliest next urgent report
    std::deque<Entry>                        m_entries;         //!< Reports that are still forwarded, oldest first
    std::uint64_t                            m_dropped{0};      //!< Number of reports dropped from `m_entries`
    std::map<std::uint32_t, AcceptedNumbers> m_accepted;        //!< Recently accepted reports, by origin
    std::map<std::uint32_t, KnownLimit>      m_knownLimits;     //!< By server, while it is limited
    std::vector<ServerReport>                m_received;        //!< Other nodes' reports since the last `takeReceived`
};

} // namespace sailpath::replication
