#pragma once

#include <sailpath/core/Time.hpp>

#include <cstdint>
#include <string>

namespace sailpath::deployment
{
////////////////////////////////////////////////////////////
/// \brief One life of a backend server, as it announced itself
///
/// A restarted server may keep its id. What was learned about an earlier
/// life does not apply to the new one.
////////////////////////////////////////////////////////////
struct Instance
{
    std::string    id;              //!< Id of the server; may be the same in all its lives
    std::string    service;         //!< Service that the instance belongs to
    std::string    address;         //!< IP address
    std::uint16_t  port{};          //!< TCP port
    std::string    dataCentre;      //!< Data centre that the server runs in
    unsigned       slots{1};        //!< Requests that the instance works on at once
    bool           draining{false}; //!< The instance takes no new requests
    core::Duration warmUp{};        //!< Remaining time for which the instance is slow after its start
    std::uint64_t  born{0}; //!< Start of this life in Unix milliseconds of the server's clock; 0 when not announced

    friend bool operator==(const Instance&, const Instance&) = default;
};

////////////////////////////////////////////////////////////
/// \brief Tell whether two instances are the same life of the same server
////////////////////////////////////////////////////////////
[[nodiscard]] inline bool sameInstance(const Instance& left, const Instance& right)
{
    return left.id == right.id && left.born == right.born;
}

////////////////////////////////////////////////////////////
/// \brief Hash one life of a server to 32 bits; nodes refer to it by this hash
////////////////////////////////////////////////////////////
[[nodiscard]] std::uint32_t instanceHash(const Instance& instance);

} // namespace sailpath::deployment
