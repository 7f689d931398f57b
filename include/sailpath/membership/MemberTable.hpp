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
/// \brief Constants of membership
////////////////////////////////////////////////////////////
struct MembershipSettings
{
    core::Duration suspicionTimeout{std::chrono::seconds{4}};  //!< From suspected to dead
    core::Duration deadRetention{std::chrono::minutes{10}};    //!< From dead to forgotten
    core::Duration deadRetryInterval{std::chrono::seconds{5}}; //!< Between tries to reach a dead member
    double         sendFactor{3.0};                            //!< A claim is told spread x log2(members) times
};

////////////////////////////////////////////////////////////
/// \brief What one VM believes of the others
///
/// Every round one member is contacted; who does not answer is suspected,
/// and claims travel with the messages that are sent anyway. A suspected
/// member that is alive hears of it and denies it under a higher
/// incarnation (after SWIM: Das, Gupta, Motivala, DSN 2002).
////////////////////////////////////////////////////////////
class MemberTable
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Create a table that knows only its owner
    ///
    /// \param self     The owner
    /// \param settings Constants
    ////////////////////////////////////////////////////////////
    MemberTable(Member self, MembershipSettings settings);

    ////////////////////////////////////////////////////////////
    /// \brief Hear claims from a peer
    ////////////////////////////////////////////////////////////
    void merge(std::span<const Member> claims, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Hear of a member from the platform's list, which lags: it only adds names to try
    ////////////////////////////////////////////////////////////
    void addListed(const Member& listed, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Note that a member answered or called
    ///
    /// \return Whether it must be told that it is held for suspect or dead, so that it can deny it
    ////////////////////////////////////////////////////////////
    bool recordContact(const Member& peer, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Note that a member could not be reached
    ////////////////////////////////////////////////////////////
    void recordUnreachable(std::string_view name, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Announce that the owner stops
    ////////////////////////////////////////////////////////////
    void leave(core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Let time pass: suspects become dead, the dead are forgotten
    ////////////////////////////////////////////////////////////
    void tick(core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief The member to contact next, each in turn in random order; now and then a dead one
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::optional<Member> nextPeer(core::Random& random, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief A few live members chosen at random, the owner excluded
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::vector<Member> randomPeers(std::size_t count, core::Random& random) const;

    ////////////////////////////////////////////////////////////
    /// \brief Claims to send along, those told least first
    ///
    /// \param most Number of claims at most
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::vector<Member> claimsToSend(std::size_t most);

    ////////////////////////////////////////////////////////////
    /// \brief Names of the members that are alive, the owner included
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::vector<std::string_view> aliveNames() const;

    ////////////////////////////////////////////////////////////
    /// \brief All members, the owner included
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::vector<Member> all() const;

    [[nodiscard]] std::optional<Member> find(std::string_view name) const; //!< One member
    [[nodiscard]] const Member&         self() const;                      //!< The owner
    [[nodiscard]] std::uint64_t         version() const; //!< Rises whenever `aliveNames` may have changed

private:
    struct Entry
    {
        Member          member;       //!< What is believed
        core::Timestamp since{};      //!< Start of the present status
        unsigned        sendCount{0}; //!< Times that the claim was sent
    };

    void                   applyClaim(const Member& claim, core::Timestamp now);
    void                   refute(std::uint64_t incarnation, core::Timestamp now);
    [[nodiscard]] unsigned sendLimit() const;

    Member                   m_self;            //!< The owner
    MembershipSettings       m_settings;        //!< Constants
    core::StringMap<Entry>   m_entries;         //!< By name, the owner included
    std::vector<std::string> m_uncontacted;     //!< Names left to contact in this turn
    core::Timestamp          m_nextDeadRetry{}; //!< Next try of a dead member
    std::uint64_t            m_version{0};      //!< Changes of who is alive
};

} // namespace sailpath::membership
