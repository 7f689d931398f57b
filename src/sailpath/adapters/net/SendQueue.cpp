#include <sailpath/adapters/net/SendQueue.hpp>

#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace sailpath::adapters::net
{
////////////////////////////////////////////////////////////
std::size_t unacknowledgedBytes(int descriptor)
{
    int bytes = 0;
    if (::ioctl(descriptor, SIOCOUTQ, &bytes) != 0 || bytes < 0)
        return 0;
    return static_cast<std::size_t>(bytes);
}

} // namespace sailpath::adapters::net
