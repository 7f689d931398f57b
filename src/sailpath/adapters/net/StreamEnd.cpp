#include <sailpath/adapters/net/StreamEnd.hpp>

#include <sailpath/adapters/net/SendQueue.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace sailpath::adapters::net
{
namespace
{
////////////////////////////////////////////////////////////
/// \brief Whether a connection whose peer has ended its stream is closed altogether, which only a failure does
////////////////////////////////////////////////////////////
bool isClosed(int descriptor)
{
    tcp_info  info{};
    socklen_t size = sizeof(info);
    return ::getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 && info.tcpi_state == TCP_CLOSE;
}

////////////////////////////////////////////////////////////
bool hasPendingError(int descriptor)
{
    int       error = 0;
    socklen_t size = sizeof(error);
    return ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0;
}

} // namespace

////////////////////////////////////////////////////////////
StreamEnd examineStreamEnd(int descriptor)
{
    if (isClosed(descriptor) || hasPendingError(descriptor))
        return StreamEnd::Failed;
    return unacknowledgedBytes(descriptor) > 0 ? StreamEnd::Pending : StreamEnd::Complete;
}

} // namespace sailpath::adapters::net
