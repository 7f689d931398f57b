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
/// \brief Which requests end the servers that run them
///
/// Load pattern: a request ends each server that begins to run it. It comes
/// again every few seconds at any node, under a new id. Each end takes along
/// all that runs there, so most requests that are seen at a server's end did
/// nothing; and servers also end in numbers for other reasons.
///
/// All nodes tell each other which requests were at servers that ended. A
/// request is quarantined when three servers ended under it one after the
/// other, with no answer to it in between:
/// - One after the other: what was sent before the end that was seen last
///   counts no further. So servers that fall together count once, however many
///   copies of a popular request they ran.
/// - An answer below 500 clears its request: what was only beside it is
///   answered by the next server as a rule.
/// - What ended under a quarantined request counts against no other, also where
///   the request was not counted itself (copies under way together), and takes
///   back verdicts that rest on it.
/// - A server that answers shortly after its end was told did not end.
///
/// Evidence is bounded, and a caller's newest takes the place of his own
/// oldest first: who makes new requests all the time drives out nobody else's.
////////////////////////////////////////////////////////////
class CrashLedger
{
public:
    void ended(const deployment::ServerCrash& end, core::Timestamp now); //!< A server ended under a request
    void served(const core::ContentHash& content);                       //!< A request was answered, not with a failure
    void answers(std::uint32_t server, core::Timestamp now);             //!< An instance said something

    ////////////////////////////////////////////////////////////
    /// \brief Take over what the store holds; what it held before and holds no more is over
    ////////////////////////////////////////////////////////////
    void declare(std::span<const deployment::Quarantine> stored, core::Timestamp now);

    [[nodiscard]] bool        empty() const; //!< No request needs to be looked up
    [[nodiscard]] std::size_t suspicion(const core::ContentHash& content,
                                        core::Timestamp          now) const; //!< Servers that ended under it

    ////////////////////////////////////////////////////////////
    /// \brief Why a request is sent to no server; null when it may be
    ////////////////////////////////////////////////////////////
    [[nodiscard]] const deployment::Quarantine* find(const deployment::RequestIdentity& request,
                                                     core::Timestamp                    now) const;

    [[nodiscard]] std::vector<deployment::Quarantine> takeConcluded(); //!< New or wider since; over: taken back
    [[nodiscard]] std::vector<deployment::Quarantine> list(core::Timestamp now) const; //!< In force

private:
    /// \brief One end that counts against a request
    struct Seen
    {
        std::uint32_t   server{0}; //!< That ended
        std::uint32_t   node{0};   //!< That told
        std::uint32_t   caller{0}; //!< Who had sent the request
        core::Timestamp at{};      //!< When this node knew
    };

    using Evidence = std::vector<Seen>; //!< Against one request, in order

    /// \brief Servers that ended while a request was there
    struct Presence
    {
        std::vector<std::uint32_t> servers;
        core::Timestamp            last{}; //!< Of them
    };

    [[nodiscard]] static bool follows(const Seen& last, const deployment::ServerCrash& end, core::Timestamp now);
    [[nodiscard]] bool        explained(std::uint32_t server, const core::ContentHash& content) const;
    [[nodiscard]] bool        shared(const core::ContentHash& content, const Evidence& evidence) const;
    void                      conclude(const core::ContentHash& content, core::Timestamp now);
    void                      makeRoomForQuarantine(core::Timestamp now);
    void                      notePresent(std::uint32_t server, const core::ContentHash& content, core::Timestamp now);
    void                      explain(const core::ContentHash& culprit, core::Timestamp now);
    [[nodiscard]] bool        restsOnOthers(const core::ContentHash& content, const Evidence& culprit) const;
    void                      takeBack(const core::ContentHash& content, core::Timestamp now);
    template <typename Condition>
    void dropWhere(Condition condition); //!< Quarantines for which it holds
    void widen(deployment::Quarantine& known, std::uint32_t caller);
    void makeRoom(std::uint32_t caller, core::Timestamp now);
    void forget(std::uint32_t server, const core::ContentHash* but);

    std::map<core::ContentHash, Evidence>               m_evidence;    //!< Not concluded
    std::map<core::ContentHash, deployment::Quarantine> m_quarantines; //!< In force or over
    std::map<core::ContentHash, Evidence>               m_endedUnder;  //!< Of those in quarantine
    std::map<core::ContentHash, Presence>        m_present; //!< All servers at whose end a request was, counted or not
    std::map<core::ContentHash, core::Timestamp> m_takenBack; //!< Verdicts, and until when the store's are not believed
    std::map<std::uint32_t, core::Timestamp>     m_endedAt;   //!< Servers, as told of late
    std::vector<deployment::Quarantine>          m_concluded; //!< Not taken yet
};

} // namespace sailpath::balance
