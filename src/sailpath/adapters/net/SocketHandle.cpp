#include <sailpath/adapters/net/SocketHandle.hpp>

#include <unistd.h>
#include <utility>

namespace sailpath::adapters::net
{
////////////////////////////////////////////////////////////
SocketHandle::SocketHandle(int descriptor) :
m_descriptor(descriptor)
{
}

////////////////////////////////////////////////////////////
SocketHandle::~SocketHandle()
{
    if (m_descriptor >= 0)
        ::close(m_descriptor);
}

////////////////////////////////////////////////////////////
SocketHandle::SocketHandle(SocketHandle&& other) noexcept :
m_descriptor(other.release())
{
}

////////////////////////////////////////////////////////////
SocketHandle& SocketHandle::operator=(SocketHandle&& other) noexcept
{
    std::swap(m_descriptor, other.m_descriptor);
    return *this;
}

////////////////////////////////////////////////////////////
int SocketHandle::release()
{
    return std::exchange(m_descriptor, -1);
}

} // namespace sailpath::adapters::net
