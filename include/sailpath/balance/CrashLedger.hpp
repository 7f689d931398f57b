#pragma once

#include <sailpath/core/Time.hpp>
#include <sailpath/deployment/Quarantine.hpp>
#include <sailpath/deployment/ServerCrash.hpp>

#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace sailpath::balance
{
////////////////////////////////////////////////////////////
/// \brief Finds the requests that end the servers that run them, and holds their quarantines
///
/// Load pattern: a request ends each server that begins to run it and comes
/// again every few seconds at any node, under a new id. Each end takes along all
/// requests that run on the server, so most requests that are seen at a server's
/// end did not cause it. Servers also end in large numbers for other reasons.
///
/// All nodes tell each other which requests were at servers that ended. A
/// request is quarantined when three servers ended under it one after the
/// other, with no answer to the request in between:
/// - One after the other: an end does not count if its request was sent before
///   the last counted end was seen. So servers that end together count once,
///   however many copies of a popular request they ran.
/// - An answer below 500 clears its request: a request that was at the server by
///   chance is usually answered by the next server.
/// - A server that ended under a quarantined request counts against no other
///   request, also where that end was not counted itself (copies under way
///   together). Quarantines that rest on such ends are withdrawn.
/// - A server that answers shortly after its end was reported did not end.
///
/// The evidence is bounded. New evidence first replaces the oldest of the same
/// caller, so a caller that sends new requests all the time evicts no evidence
/// against requests of others.
////////////////////////////////////////////////////////////
class CrashLedger
{
public:
    void recordEnd(const deployment::ServerCrash& end,
                   core::Timestamp                now);                           //!< Record that a server ended under a request
    void recordServed(const core::ContentHash& content);           //!< Clear a request that was answered below 500
    void recordContact(std::uint32_t server, core::Timestamp now); //!< Record that an instance sent any answer

    ////////////////////////////////////////////////////////////
    /// \brief Apply the quarantines in the store; one that was stored before and is missing now is lifted
    ////////////////////////////////////////////////////////////
    void applyStored(std::span<const deployment::Quarantine> stored, core::Timestamp now);

    [[nodiscard]] bool        empty() const; //!< There is neither evidence nor a quarantine: no request needs a look-up
    [[nodiscard]] std::size_t countEnds(const core::ContentHash& content,
                                        core::Timestamp          now) const; //!< Count the ends that are evidence now

    ////////////////////////////////////////////////////////////
    /// \brief Return the quarantine that keeps a request from all servers; null if there is none
    ////////////////////////////////////////////////////////////
    [[nodiscard]] const deployment::Quarantine* findQuarantine(const deployment::RequestIdentity& request,
                                                               core::Timestamp                    now) const;

    ////////////////////////////////////////////////////////////
    /// \brief Return the quarantines that were added, widened or withdrawn since the last call
    ///
    /// The `until` of a withdrawn quarantine has passed.
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::vector<deployment::Quarantine> takeChanged();
    [[nodiscard]] std::vector<deployment::Quarantine> listInForce(core::Timestamp now) const;

private:
    /// \brief One server's end that counts against a request
    struct EvidenceItem
    {
        std::uint32_t   server{0}; //!< `lifeHash` of the server that ended
        std::uint32_t   node{0};   //!< Node that reported the end; 0 is this node
        std::uint32_t   caller{0}; //!< Caller that had sent the request
        core::Timestamp endedAt{}; //!< On this node's clock
    };

    using Evidence = std::vector<EvidenceItem>; //!< Against one request, in the order of counting

    /// \brief Servers that ended while a request was there
    struct Presence
    {
        std::vector<std::uint32_t> servers;
        core::Timestamp            lastEndAt{}; //!< When the last end was recorded
    };

    [[nodiscard]] static bool wasSentAfter(const EvidenceItem& last, const deployment::ServerCrash& end,
                                           core::Timestamp now);
    [[nodiscard]] bool        isExplained(std::uint32_t server, const core::ContentHash& content) const;
    [[nodiscard]] bool        sharesServers(const core::ContentHash& content, const Evidence& evidence) const;
    void                      beginQuarantine(const core::ContentHash& content, core::Timestamp now);
    void                      makeRoomForQuarantine(core::Timestamp now);
    void               recordPresence(std::uint32_t server, const core::ContentHash& content, core::Timestamp now);
    void               explainEnds(const core::ContentHash& culprit, core::Timestamp now);
    [[nodiscard]] bool restsOnEndsOf(const core::ContentHash& content, const Evidence& culprit) const;
    void               withdraw(const core::ContentHash& content, core::Timestamp now);
    template <typename Condition>
    void eraseQuarantinesIf(Condition condition);
    void widen(deployment::Quarantine& known, std::uint32_t caller);
    void makeRoomForEvidence(std::uint32_t caller, core::Timestamp now);
    void eraseEvidence(std::uint32_t server, const core::ContentHash* except);

    std::map<core::ContentHash, Evidence>               m_evidence;    //!< Against requests that are not quarantined
    std::map<core::ContentHash, deployment::Quarantine> m_quarantines; //!< In force or expired
    std::map<core::ContentHash, Evidence>               m_explained;   //!< Ends that quarantined requests caused
    std::map<core::ContentHash, Presence>        m_present; //!< All servers at whose end a request was, counted or not
    std::map<core::ContentHash, core::Timestamp> m_withdrawn;  //!< Until when stored copies are ignored
    std::map<std::uint32_t, core::Timestamp>     m_reportedAt; //!< When ends of servers were reported, for a second
    std::vector<deployment::Quarantine>          m_changed;    //!< Not taken yet
};

} // namespace sailpath::balance
