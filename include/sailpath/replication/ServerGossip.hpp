#pragma once

#include <sailpath/core/Time.hpp>
#include <sailpath/replication/Message.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace sailpath::replication
{
////////////////////////////////////////////////////////////
/// \brief Where a report came from
////////////////////////////////////////////////////////////
struct ReportSource
{
    std::uint64_t link{0};          //!< Number of the link; 0 for this node's own
    bool          fromRelay{false}; //!< The far end is a relay of this node
};

////////////////////////////////////////////////////////////
/// \brief What nodes see of servers, on its way through a node: failures, ends under requests, limits
///
/// Load pattern: some servers fail a part of their requests while their health
/// is good. With hundreds of nodes each meets a given server every 17 s or
/// more, so what one learns alone comes too late; the fleet together sees the
/// server fail twice within a second or two.
///
/// A node tells one of its relays what it saw and what its followers told it,
/// and its followers all that it hears; each report is taken once.
///
/// Servers that end under requests go out at once, as the same request may be
/// on its way to the next. So does what is sent to servers that take only so
/// much from all nodes together: the sum is kept by it (`balance::SharedLimit`).
///
/// Limits: one report a node and span, with at most so many servers; reports
/// kept for a few seconds only, so that a node that was cut off tells no
/// old news.
////////////////////////////////////////////////////////////
class ServerGossip
{
public:
    static constexpr std::chrono::milliseconds batchDelay{60}; //!< That limits which are not pressed wait for others

    explicit ServerGossip(std::uint32_t self);

    void recordFailure(std::uint32_t server);                    //!< This node saw it fail
    void recordEnd(const EndRecord& record, core::Timestamp at); //!< This node saw a server end then
    void recordServed(const core::ContentHash& content);         //!< This node passed on an answer to such a request
    void receive(std::span<const ServerReport> reports, ReportSource source, core::Timestamp now); //!< A peer told them
    void recordLimit(const LimitRecord& record,
                     core::Timestamp    at); //!< This node heard or sent that, the word as of then
    void tick(core::Timestamp now);       //!< Makes a report of what was seen

    [[nodiscard]] std::uint64_t                  reportCount() const;   //!< Count of all reports so far
    [[nodiscard]] std::optional<core::Timestamp> nextReportDue() const; //!< When `tick` has an urgent report to make
    [[nodiscard]] bool hasUrgentSince(std::uint64_t count) const;       //!< One of those after `count` is not to wait
    [[nodiscard]] bool hasLimitsSince(std::uint64_t count) const;       //!< Or is to wait no longer than `batchDelay`
    [[nodiscard]] std::vector<ServerReport>   reportsForFollower(std::uint64_t count,
                                                                 std::uint64_t link) const; //!< After `count`
    [[nodiscard]] std::optional<ServerReport> currentLimits(core::Timestamp now) const;   //!< For a follower that joins
    [[nodiscard]] std::vector<ServerReport>   reportsForRelay(std::uint64_t count) const; //!< After `count`
    [[nodiscard]] std::vector<ServerReport>   takeReceived(); //!< Of other nodes, not taken yet

private:
    struct Entry
    {
        ServerReport    report;
        ReportSource    source;
        core::Timestamp at; //!< When it came here
    };

    /// \brief What this node saw, not reported yet
    struct Pending
    {
        std::vector<std::uint32_t>                           servers; //!< That failed
        std::vector<std::pair<EndRecord, core::Timestamp>>   ends;    //!< And when
        std::vector<core::ContentHash>                       served;
        std::vector<std::pair<LimitRecord, core::Timestamp>> limits; //!< One for each server, the word as of then
    };

    /// \brief The last word of a limited server that passed here
    struct KnownLimit
    {
        LimitRecord     record;
        core::Timestamp at; //!< When the server said so
    };

    void               rememberLimits(const ServerReport& report, core::Timestamp now);
    void               append(ServerReport report, const ReportSource& source, core::Timestamp now);
    [[nodiscard]] bool isReportDue(core::Timestamp now) const;

    std::uint32_t                          m_self;            //!< Hash of this node's address
    Pending                                m_pending;         //!< Since the last own report
    core::Timestamp                        m_nextRegularAt{}; //!< Not before, unless it is urgent
    core::Timestamp                        m_nextLimitsAt{};  //!< Not before
    core::Timestamp                        m_nextUrgentAt{};  //!< Not before
    std::deque<Entry>                      m_entries;         //!< Oldest first
    std::uint64_t                          m_dropped{0};      //!< Reports forgotten
    std::map<std::uint32_t, std::uint32_t> m_lastNumbers;     //!< Highest number heard, by origin
    std::map<std::uint32_t, KnownLimit>    m_knownLimits;     //!< By server, while it is limited
    std::vector<ServerReport>              m_received;        //!< Not taken yet
};

} // namespace sailpath::replication
