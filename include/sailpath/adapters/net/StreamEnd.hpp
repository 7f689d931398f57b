#pragma once

#include <cstdint>

namespace sailpath::adapters::net
{
////////////////////////////////////////////////////////////
/// \brief What is known of a peer's stream after its end of file was read
////////////////////////////////////////////////////////////
enum class StreamEnd : std::uint8_t
{
    Complete, //!< The peer ended its stream in order, and has acknowledged all bytes that were written
    Pending,  //!< Not all written bytes are acknowledged, so the peer may still reset the connection
    Failed    //!< The connection has failed, so bytes of the peer may be missing
};

////////////////////////////////////////////////////////////
/// \brief Determine whether an end of file is the end of what the peer had to send
///
/// Linux reports the failure of a connection to one operation only. When that is a write, later reads return the bytes
/// that had arrived and then an end of file, as after an orderly close. The state of the connection shows the failure
/// whichever operation was told.
///
/// \param descriptor File descriptor of the socket; this side has not ended its own stream
////////////////////////////////////////////////////////////
[[nodiscard]] StreamEnd examineStreamEnd(int descriptor);

} // namespace sailpath::adapters::net
