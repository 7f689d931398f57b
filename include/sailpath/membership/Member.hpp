#pragma once

#include <cstdint>
#include <string>

namespace sailpath::membership
{
////////////////////////////////////////////////////////////
/// \brief What is believed of a VM; later ones win at the same incarnation
////////////////////////////////////////////////////////////
enum class MemberStatus : std::uint8_t
{
    Alive,   //!< Works
    Suspect, //!< Somebody could not reach it
    Leaving, //!< Says that it stops
    Dead     //!< Suspected for too long, or gone
};

////////////////////////////////////////////////////////////
/// \brief One VM of the system
////////////////////////////////////////////////////////////
struct Member
{
    std::string   name;                        //!< Unique name
    std::string   address;                     //!< `IP:PORT` for peers
    std::string   dataCentre;                  //!< Where it runs
    std::uint64_t incarnation{0};              //!< Rises with each start and each denial of a suspicion
    MemberStatus  status{MemberStatus::Alive}; //!< What is believed

    friend bool operator==(const Member&, const Member&) = default;
};

////////////////////////////////////////////////////////////
/// \brief Whether one claim about a member replaces another
////////////////////////////////////////////////////////////
[[nodiscard]] constexpr bool supersedes(const Member& claim, const Member& known)
{
    if (claim.incarnation != known.incarnation)
        return claim.incarnation > known.incarnation;
    return claim.status > known.status;
}

} // namespace sailpath::membership
