#pragma once

#include <cstddef>

namespace sailpath::adapters::net
{
////////////////////////////////////////////////////////////
/// \brief Return the number of bytes written to a TCP socket that its peer has not acknowledged yet
///
/// \param descriptor File descriptor of the socket
///
/// \return 0 if the system does not tell
////////////////////////////////////////////////////////////
[[nodiscard]] std::size_t unacknowledgedBytes(int descriptor);

} // namespace sailpath::adapters::net
