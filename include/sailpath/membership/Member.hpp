#pragma once

#include <cstdint>
#include <string>

namespace sailpath::membership
{
////////////////////////////////////////////////////////////
/// \brief Believed status of a VM; at the same incarnation a later enumerator overrides an earlier one
////////////////////////////////////////////////////////////
enum class MemberStatus : std::uint8_t
{
    Alive,   //!< The member works
    Suspect, //!< Some member could not reach it
    Leaving, //!< The member has announced that it stops
    Dead     //!< The suspicion has timed out, or the member has left
};

////////////////////////////////////////////////////////////
/// \brief One VM of the system
////////////////////////////////////////////////////////////
struct Member
{
    std::string   name;                        //!< Unique name of the VM
    std::string   address;                     //!< `IP:PORT` at which peers reach the VM
    std::string   dataCentre;                  //!< Data centre in which the VM runs
    std::uint64_t incarnation{0};              //!< Increases with each start and each refutation of a suspicion
    MemberStatus  status{MemberStatus::Alive}; //!< Believed status

    friend bool operator==(const Member&, const Member&) = default;
};

////////////////////////////////////////////////////////////
/// \brief Return whether a claim about a member overrides the known state
////////////////////////////////////////////////////////////
[[nodiscard]] constexpr bool supersedes(const Member& claim, const Member& known)
{
    if (claim.incarnation != known.incarnation)
        return claim.incarnation > known.incarnation;
    return claim.status > known.status;
}

} // namespace sailpath::membership
