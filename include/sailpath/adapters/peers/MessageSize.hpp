#pragma once

#include <sailpath/node/Digest.hpp>

#include <cstddef>

namespace sailpath::adapters::peers
{
////////////////////////////////////////////////////////////
/// \brief Bytes of an exchange's call as it goes over the wire, without TCP/IP
////////////////////////////////////////////////////////////
[[nodiscard]] std::size_t encodedSize(const node::Digest& digest);

} // namespace sailpath::adapters::peers
