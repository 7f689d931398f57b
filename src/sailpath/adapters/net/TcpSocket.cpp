#include <sailpath/adapters/net/TcpSocket.hpp>

#include <sailpath/adapters/net/StreamEnd.hpp>

#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

namespace sailpath::adapters::net
{
namespace
{
constexpr auto streamEndInterval = std::chrono::milliseconds{5}; // Nothing reports that bytes are acknowledged

////////////////////////////////////////////////////////////
/// \brief Wait until a descriptor is ready; false on timeout or when polling fails
////////////////////////////////////////////////////////////
bool waitUntilReady(int descriptor, short events, core::Duration timeout)
{
    pollfd    polled{descriptor, events, 0};
    const int milliseconds = static_cast<int>(std::clamp<std::int64_t>((timeout.count() + 999) / 1000, 0, 3'600'000));
    int       ready = 0;
    do
        ready = poll(&polled, 1, milliseconds);
    while (ready < 0 && errno == EINTR);
    return ready > 0;
}

////////////////////////////////////////////////////////////
bool wouldBlock()
{
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

////////////////////////////////////////////////////////////
/// \brief Fill in a socket address and return its length; 0 when the text is not an IP address
////////////////////////////////////////////////////////////
socklen_t makeAddress(const std::string& address, std::uint16_t port, sockaddr_storage& storage)
{
    auto* v4 = reinterpret_cast<sockaddr_in*>(&storage);
    if (inet_pton(AF_INET, address.c_str(), &v4->sin_addr) == 1)
    {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(port);
        return sizeof(sockaddr_in);
    }
    auto* v6 = reinterpret_cast<sockaddr_in6*>(&storage);
    if (inet_pton(AF_INET6, address.c_str(), &v6->sin6_addr) == 1)
    {
        v6->sin6_family = AF_INET6;
        v6->sin6_port = htons(port);
        return sizeof(sockaddr_in6);
    }
    return 0;
}

} // namespace

////////////////////////////////////////////////////////////
TcpSocket::TcpSocket(int descriptor) :
m_descriptor(descriptor)
{
}

////////////////////////////////////////////////////////////
TcpSocket::~TcpSocket()
{
    close();
}

////////////////////////////////////////////////////////////
TcpSocket::TcpSocket(TcpSocket&& other) noexcept :
m_descriptor(std::exchange(other.m_descriptor, -1))
{
}

////////////////////////////////////////////////////////////
TcpSocket& TcpSocket::operator=(TcpSocket&& other) noexcept
{
    if (this != &other)
    {
        close();
        m_descriptor = std::exchange(other.m_descriptor, -1);
    }
    return *this;
}

////////////////////////////////////////////////////////////
TcpSocket TcpSocket::connect(const std::string& address, std::uint16_t port, core::Duration timeout)
{
    sockaddr_storage storage{};
    const socklen_t  length = makeAddress(address, port, storage);
    if (length == 0)
        return {};

    TcpSocket socket(::socket(storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!socket.isOpen())
        return {};
    const int on = 1;
    setsockopt(socket.m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));

    if (::connect(socket.m_descriptor, reinterpret_cast<sockaddr*>(&storage), length) == 0)
        return socket;
    if (errno != EINPROGRESS || !waitUntilReady(socket.m_descriptor, POLLOUT, timeout))
        return {};
    int       error = 0;
    socklen_t size = sizeof(error);
    getsockopt(socket.m_descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0)
        return {};
    return socket;
}

////////////////////////////////////////////////////////////
IoResult TcpSocket::read(std::span<char> buffer, core::Duration timeout) const
{
    while (true)
    {
        const ssize_t count = recv(m_descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (count > 0)
            return {IoStatus::Done, static_cast<std::size_t>(count)};
        if (count == 0)
            return {IoStatus::Closed, 0};
        if (!wouldBlock())
            return {IoStatus::Failed, 0};
        if (!waitUntilReady(m_descriptor, POLLIN, timeout))
            return {IoStatus::Timeout, 0};
    }
}

////////////////////////////////////////////////////////////
IoResult TcpSocket::write(std::span<const char> data, core::Duration timeout) const
{
    while (true)
    {
        const ssize_t count = send(m_descriptor, data.data(), data.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (count >= 0)
            return {IoStatus::Done, static_cast<std::size_t>(count)};
        if (!wouldBlock())
            return {IoStatus::Failed, 0};
        if (!waitUntilReady(m_descriptor, POLLOUT, timeout))
            return {IoStatus::Timeout, 0};
    }
}

////////////////////////////////////////////////////////////
bool TcpSocket::endedInOrder(core::Duration timeout) const
{
    const auto until = std::chrono::steady_clock::now() + timeout;
    StreamEnd  end = examineStreamEnd(m_descriptor);
    while (end == StreamEnd::Pending && std::chrono::steady_clock::now() < until)
    {
        std::this_thread::sleep_for(streamEndInterval);
        end = examineStreamEnd(m_descriptor);
    }
    return end == StreamEnd::Complete;
}

////////////////////////////////////////////////////////////
bool TcpSocket::isIdle() const
{
    char          byte = 0;
    const ssize_t count = recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && wouldBlock();
}

////////////////////////////////////////////////////////////
bool TcpSocket::isDisconnected() const
{
    char          byte = 0;
    const ssize_t count = recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && !wouldBlock());
}

////////////////////////////////////////////////////////////
void TcpSocket::shutdown() const
{
    if (m_descriptor >= 0)
        ::shutdown(m_descriptor, SHUT_RDWR);
}

////////////////////////////////////////////////////////////
void TcpSocket::close()
{
    if (m_descriptor >= 0)
        ::close(m_descriptor);
    m_descriptor = -1;
}

////////////////////////////////////////////////////////////
int TcpSocket::release()
{
    return std::exchange(m_descriptor, -1);
}

////////////////////////////////////////////////////////////
bool TcpSocket::isOpen() const
{
    return m_descriptor >= 0;
}

////////////////////////////////////////////////////////////
int TcpSocket::descriptor() const
{
    return m_descriptor;
}

} // namespace sailpath::adapters::net
