#pragma once

namespace sailpath::adapters::net
{
////////////////////////////////////////////////////////////
/// \brief Owns the descriptor of an open socket on its way from one event loop to another
////////////////////////////////////////////////////////////
class SocketHandle
{
public:
    SocketHandle() = default;

    explicit SocketHandle(int descriptor); //!< Take ownership

    ~SocketHandle();
    SocketHandle(SocketHandle&& other) noexcept;
    SocketHandle& operator=(SocketHandle&& other) noexcept;
    SocketHandle(const SocketHandle&) = delete;
    SocketHandle& operator=(const SocketHandle&) = delete;

    [[nodiscard]] int release(); //!< Give up ownership; -1 when there is no socket

private:
    int m_descriptor{-1}; //!< Descriptor, or -1
};

} // namespace sailpath::adapters::net
