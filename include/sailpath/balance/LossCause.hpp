#pragma once

#include <cstdint>
#include <string_view>

namespace sailpath::balance
{
////////////////////////////////////////////////////////////
/// \brief Why an attempt was lost after its request was sent
////////////////////////////////////////////////////////////
enum class LossCause : std::uint8_t
{
    None,           //!< The attempt was not lost
    ClosedByServer, //!< The server closed the connection in order
    ResetByServer,  //!< The server reset the connection
    PathBroken,     //!< The connection broke for another reason, or its helper closed it
    Malformed,      //!< The bytes that came are no answer, or not one to this request
    TooLarge,       //!< The answer exceeds a limit
    NoMemory        //!< The memory for answers is used up
};

////////////////////////////////////////////////////////////
/// \brief Name of a cause in logs; empty for `None`
////////////////////////////////////////////////////////////
[[nodiscard]] std::string_view toString(LossCause cause);

////////////////////////////////////////////////////////////
/// \brief Whether the server ended the connection, so that it may have ended itself
////////////////////////////////////////////////////////////
[[nodiscard]] bool endedByServer(LossCause cause);

} // namespace sailpath::balance
