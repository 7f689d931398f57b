#pragma once

#include <sailpath/core/ContentHash.hpp>

#include <cstdint>

namespace sailpath::deployment
{
////////////////////////////////////////////////////////////
/// \brief Identifies a request that is sent again, to any node and under any request id
////////////////////////////////////////////////////////////
struct RequestIdentity
{
    core::ContentHash content;   //!< Hash of host, method, target and body
    std::uint32_t     caller{0}; //!< Short hash of the caller's address

    friend bool operator==(const RequestIdentity&, const RequestIdentity&) = default;
};

} // namespace sailpath::deployment
