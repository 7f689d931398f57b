#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace sailpath::core
{
////////////////////////////////////////////////////////////
/// \brief Bytes of a connection that were received and not parsed yet
///
/// The buffer has no limit of its own: its parser fails when what it leaves
/// exceeds the limit of its protocol, and the connection is closed then.
/// `docs/design/buffers.md` lists the limits.
////////////////////////////////////////////////////////////
class ReceiveBuffer
{
public:
    void append(std::string_view bytes); //!< Add received bytes at the end
    void consume(std::size_t count);     //!< Remove parsed bytes from the front, at most `size()`
    void clear();                        //!< Discard all bytes and free their memory

    [[nodiscard]] std::string_view bytes() const; //!< Valid until the next change
    [[nodiscard]] std::size_t      size() const;  //!< Number of bytes
    [[nodiscard]] bool             empty() const; //!< No byte is left
    [[nodiscard]] std::string      take();        //!< Move all bytes out

private:
    std::string m_bytes;
};

} // namespace sailpath::core
