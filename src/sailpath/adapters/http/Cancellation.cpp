#include <sailpath/adapters/http/Cancellation.hpp>

namespace sailpath::adapters::http
{
////////////////////////////////////////////////////////////
bool Cancellation::attach(const net::TcpSocket& socket)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_cancelled)
        return false;
    m_socket = &socket;
    return true;
}

////////////////////////////////////////////////////////////
void Cancellation::detach()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_socket = nullptr;
}

////////////////////////////////////////////////////////////
void Cancellation::cancel()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_cancelled = true;
    if (m_socket)
        m_socket->shutdown();
}

////////////////////////////////////////////////////////////
void Cancellation::reset()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_socket = nullptr;
    m_cancelled = false;
}

////////////////////////////////////////////////////////////
bool Cancellation::cancelled() const
{
    return m_cancelled;
}

} // namespace sailpath::adapters::http
