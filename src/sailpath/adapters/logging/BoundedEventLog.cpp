#include <sailpath/adapters/logging/BoundedEventLog.hpp>

namespace sailpath::adapters::logging
{
namespace
{
constexpr auto span = std::chrono::seconds{1};

} // namespace

////////////////////////////////////////////////////////////
BoundedEventLog::BoundedEventLog(ports::EventLog& inner, unsigned perSecond, Clock clock) :
m_inner(inner),
m_perSecond(perSecond),
m_clock(clock)
{
}

////////////////////////////////////////////////////////////
bool BoundedEventLog::writes(ports::Level level) const
{
    return m_inner.writes(level);
}

////////////////////////////////////////////////////////////
void BoundedEventLog::write(ports::Level level, std::string_view event, std::initializer_list<ports::Field> fields)
{
    if (!writes(level))
        return;
    const std::lock_guard<std::mutex> lock(m_mutex);
    auto                              found = m_kinds.find(event);
    if (found == m_kinds.end())
        found = m_kinds.try_emplace(std::string(event)).first;
    Kind&      kind = found->second;
    const auto now = m_clock();
    if (now - kind.since >= span)
    {
        if (kind.leftOut > 0)
            m_inner.write(ports::Level::Info, "lines-left-out", {{"kind", event}, {"count", kind.leftOut}});
        kind = {now, 0, 0};
    }
    const bool always = level == ports::Level::Warning || level == ports::Level::Error;
    if (!always && kind.written >= m_perSecond)
    {
        ++kind.leftOut;
        ++m_leftOut;
        return;
    }
    ++kind.written;
    m_inner.write(level, event, fields);
}

////////////////////////////////////////////////////////////
std::uint64_t BoundedEventLog::leftOut() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_leftOut;
}

} // namespace sailpath::adapters::logging
