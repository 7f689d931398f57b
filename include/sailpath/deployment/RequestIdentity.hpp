#pragma once

#include <sailpath/core/ContentHash.hpp>

#include <cstdint>

namespace sailpath::deployment
{
////////////////////////////////////////////////////////////
/// \brief What a request is known by when it comes again, at whatever node and under whatever id
////////////////////////////////////////////////////////////
struct RequestIdentity
{
    core::ContentHash content;   //!< Of host, method, target and body
    std::uint32_t     caller{0}; //!< Short hash of the caller's address

    friend bool operator==(const RequestIdentity&, const RequestIdentity&) = default;
};

} // namespace sailpath::deployment
