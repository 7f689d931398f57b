#include <sailpath/core/ReceiveBuffer.hpp>

#include <algorithm>
#include <utility>

namespace sailpath::core
{
namespace
{
constexpr std::size_t maxRestingCapacity = 16UL * 1024; // Memory that an empty buffer keeps, in bytes

} // namespace

////////////////////////////////////////////////////////////
void ReceiveBuffer::append(std::string_view bytes)
{
    m_bytes.append(bytes);
}

////////////////////////////////////////////////////////////
void ReceiveBuffer::consume(std::size_t count)
{
    m_bytes.erase(0, std::min(count, m_bytes.size()));
    // Connections rest for long after a message that needed much.
    if (m_bytes.empty() && m_bytes.capacity() > maxRestingCapacity)
        clear();
}

////////////////////////////////////////////////////////////
void ReceiveBuffer::clear()
{
    m_bytes = {};
}

////////////////////////////////////////////////////////////
std::string_view ReceiveBuffer::bytes() const
{
    return m_bytes;
}

////////////////////////////////////////////////////////////
std::size_t ReceiveBuffer::size() const
{
    return m_bytes.size();
}

////////////////////////////////////////////////////////////
bool ReceiveBuffer::empty() const
{
    return m_bytes.empty();
}

////////////////////////////////////////////////////////////
std::string ReceiveBuffer::take()
{
    return std::exchange(m_bytes, {});
}

} // namespace sailpath::core
