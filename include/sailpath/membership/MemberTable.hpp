#pragma once

#include <sailpath/core/Random.hpp>
#include <sailpath/core/StringMap.hpp>
#include <sailpath/core/Time.hpp>
#include <sailpath/membership/Member.hpp>

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sailpath::membership
{
////////////////////////////////////////////////////////////
/// \brief Parameters of the membership protocol
////////////////////////////////////////////////////////////
struct MembershipSettings
{
    core::Duration suspicionTimeout{std::chrono::seconds{4}};  //!< From suspected or leaving to dead
    core::Duration deadRetention{std::chrono::minutes{10}};    //!< Time after which a dead member is removed
    core::Duration deadRetryInterval{std::chrono::seconds{5}}; //!< Interval between attempts to contact a dead member
    double         sendFactor{3.0}; //!< Each claim is sent ceil(sendFactor x log2(members + 1)) times
};

////////////////////////////////////////////////////////////
/// \brief Membership view of one VM
///
/// Each round contacts one member. A member that does not answer is
/// suspected, and claims about members are piggybacked on other messages. A
/// suspected member that is alive receives the claim and refutes it with a
/// higher incarnation (after SWIM: Das, Gupta, Motivala, DSN 2002).
////////////////////////////////////////////////////////////
class MemberTable
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Create a table that contains only its owner
    ///
    /// \param self     Member that owns the table
    /// \param settings Parameters of the protocol
    ////////////////////////////////////////////////////////////
    MemberTable(Member self, MembershipSettings settings);

    ////////////////////////////////////////////////////////////
    /// \brief Merge claims received from a peer
    ////////////////////////////////////////////////////////////
    void merge(std::span<const Member> claims, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Add a member from the platform's list if its name is unknown; the list lags and changes no known member
    ////////////////////////////////////////////////////////////
    void addListed(const Member& listed, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Record that a member answered or sent a message
    ///
    /// \return Whether the member must be told that it counts as suspect, leaving or dead, so that it can refute this
    ////////////////////////////////////////////////////////////
    bool recordContact(const Member& peer, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Record that a member could not be reached
    ////////////////////////////////////////////////////////////
    void recordUnreachable(std::string_view name, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Mark the owner as leaving, for announcement to the peers
    ////////////////////////////////////////////////////////////
    void leave(core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Apply timeouts: suspected and leaving members become dead, dead members are removed
    ////////////////////////////////////////////////////////////
    void tick(core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Return the next member to contact: each in turn in random order, and a dead one at intervals
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::optional<Member> nextPeer(core::Random& random, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Return up to `count` live members chosen at random, excluding the owner
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::vector<Member> randomPeers(std::size_t count, core::Random& random) const;

    ////////////////////////////////////////////////////////////
    /// \brief Return the claims to send with a message, the least often sent first
    ///
    /// \param maxCount Maximum number of claims
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::vector<Member> claimsToSend(std::size_t maxCount);

    ////////////////////////////////////////////////////////////
    /// \brief Return the names of the live members, including the owner
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::vector<std::string_view> aliveNames() const;

    ////////////////////////////////////////////////////////////
    /// \brief Return all members, including the owner
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::vector<Member> all() const;

    [[nodiscard]] std::optional<Member> find(std::string_view name) const; //!< Member of this name; empty when unknown
    [[nodiscard]] const Member&         self() const;                      //!< Member that owns the table
    [[nodiscard]] std::uint64_t         version() const; //!< Increases whenever `aliveNames` may have changed

private:
    struct Entry
    {
        Member          member;       //!< Believed state of the member
        core::Timestamp since{};      //!< Time of the last change of the state
        unsigned        sendCount{0}; //!< Number of times the claim was sent
    };

    void                   applyClaim(const Member& claim, core::Timestamp now);
    void                   refute(std::uint64_t incarnation, core::Timestamp now);
    [[nodiscard]] unsigned sendLimit() const;

    Member                   m_self;            //!< Member that owns the table
    MembershipSettings       m_settings;        //!< Parameters of the protocol
    core::StringMap<Entry>   m_entries;         //!< Members by name, including the owner
    std::vector<std::string> m_uncontacted;     //!< Names of the members not yet contacted in this round
    core::Timestamp          m_nextDeadRetry{}; //!< Time of the next attempt to contact a dead member
    std::uint64_t            m_version{0};      //!< Number of changes to the set of live members
};

} // namespace sailpath::membership
