#include <sailpath/replay/FakeServer.hpp>

#include <algorithm>
#include <utility>

namespace sailpath::replay
{
namespace
{
constexpr core::Duration rejectTime = std::chrono::microseconds{200};
constexpr core::Duration coldTime = std::chrono::seconds{2};
constexpr core::Duration drainGrace = std::chrono::seconds{3};
constexpr core::Duration historyLength = std::chrono::seconds{5};

} // namespace

////////////////////////////////////////////////////////////
FakeServer::FakeServer(config::BackendServer declaration, EventQueue& events) :
m_declaration(std::move(declaration)),
m_events(events)
{
}

////////////////////////////////////////////////////////////
void FakeServer::arrive(core::Duration work, Nested nested, Done done)
{
    if (m_drains && !m_down && m_events.now() > m_drainSince + drainGrace)
        ++m_afterDrain;
    enter(work, std::move(nested), std::move(done));
}

////////////////////////////////////////////////////////////
void FakeServer::probe(core::Duration work, Done done)
{
    enter(work, {}, std::move(done));
}

////////////////////////////////////////////////////////////
void FakeServer::enter(core::Duration work, Nested nested, Done done)
{
    if (m_down)
    {
        answer(FakeAnswer::Kind::Refused, done, false);
        return;
    }
    if (m_rejects)
    {
        m_events.after(rejectTime, [this, done] { answer(FakeAnswer::Kind::Failed, done, false); });
        return;
    }
    if (m_working + m_queue.size() >= m_declaration.connections)
    {
        answer(FakeAnswer::Kind::Shed, done, false);
        return;
    }
    Waiting request{scaled(work), std::move(nested), std::move(done)};
    if (m_working < m_declaration.slots)
        start(std::move(request));
    else
        m_queue.push_back(std::move(request));
    (void)load();
}

////////////////////////////////////////////////////////////
void FakeServer::apply(const ServerEvent& event)
{
    switch (event.kind)
    {
    case ServerEventKind::Slow:
        m_slow = event.factor;
        break;
    case ServerEventKind::Drain:
        m_drains = true;
        m_drainSince = m_events.now();
        break;
    case ServerEventKind::Reject:
        m_rejects = true;
        break;
    case ServerEventKind::Down:
    {
        m_down = true;
        ++m_life;
        const auto held = std::exchange(m_held, {});
        const auto queue = std::exchange(m_queue, {});
        m_working = 0;
        m_slotEnds.clear();
        for (const auto& item : held)
            answer(FakeAnswer::Kind::Lost, item.second, false);
        for (const Waiting& waiting : queue)
            answer(FakeAnswer::Kind::Lost, waiting.done, false);
        break;
    }
    case ServerEventKind::Cold:
        m_down = false;
        m_rejects = false;
        m_drains = false;
        m_cold = event.factor;
        m_coldUntil = m_events.now() + coldTime;
        break;
    case ServerEventKind::Lie:
        m_lies = true;
        break;
    case ServerEventKind::DelayReports:
        m_reportDelay = core::fromMilliseconds(event.factor);
        break;
    case ServerEventKind::Recover:
        m_slow = 1;
        m_rejects = m_down = m_drains = m_lies = false;
        m_reportDelay = {};
        break;
    }
}

////////////////////////////////////////////////////////////
core::Timestamp FakeServer::trueFinish(core::Duration work) const
{
    std::vector<core::Timestamp> ends = m_slotEnds;
    while (ends.size() < m_declaration.slots)
        ends.push_back(m_events.now());
    for (const Waiting& waiting : m_queue)
    {
        const auto first = std::min_element(ends.begin(), ends.end());
        *first = std::max(*first, m_events.now()) + waiting.work;
    }
    return std::max(*std::min_element(ends.begin(), ends.end()), m_events.now()) + scaled(work);
}

////////////////////////////////////////////////////////////
bool FakeServer::works() const
{
    return !m_down && !m_rejects && !m_drains;
}

////////////////////////////////////////////////////////////
const config::BackendServer& FakeServer::declaration() const
{
    return m_declaration;
}

////////////////////////////////////////////////////////////
std::uint64_t FakeServer::afterDrain() const
{
    return m_afterDrain;
}

////////////////////////////////////////////////////////////
void FakeServer::start(Waiting request)
{
    ++m_working;
    const core::Timestamp end = m_events.now() + request.work;
    m_slotEnds.push_back(end);
    const std::uint64_t key = m_nextHeld++;
    m_held[key] = request.done;
    const auto over = [this, life = m_life, key, end](bool failed, bool retryForbidden)
    {
        if (life != m_life)
            return;
        const Done done = m_held[key];
        m_held.erase(key);
        m_slotEnds.erase(std::find(m_slotEnds.begin(), m_slotEnds.end(), end));
        finish(life, done, failed, retryForbidden);
    };
    m_events.at(end,
                [over, nested = std::move(request.nested)]
                {
                    if (nested)
                        nested(over);
                    else
                        over(false, false);
                });
}

////////////////////////////////////////////////////////////
void FakeServer::finish(std::uint64_t, const Done& done, bool failed, bool retryForbidden)
{
    --m_working;
    answer(failed ? FakeAnswer::Kind::Failed : FakeAnswer::Kind::Good, done, retryForbidden);
    if (m_queue.empty() || m_working >= m_declaration.slots)
        return;
    Waiting next = std::move(m_queue.front());
    m_queue.pop_front();
    start(std::move(next));
}

////////////////////////////////////////////////////////////
unsigned FakeServer::load()
{
    const auto now = m_events.now();
    const auto present = static_cast<unsigned>(m_working + m_queue.size());
    if (m_reportDelay.count() == 0)
    {
        m_history.clear();
        return m_lies ? 0 : present;
    }
    m_history.emplace_back(now, present);
    while (m_history.front().first < now - historyLength)
        m_history.pop_front();
    unsigned old = 0;
    for (const auto& [time, value] : m_history)
    {
        if (time <= now - m_reportDelay)
            old = value;
    }
    return m_lies ? 0 : old;
}

////////////////////////////////////////////////////////////
core::Duration FakeServer::scaled(core::Duration work) const
{
    double factor = m_slow;
    if (m_events.now() < m_coldUntil)
    {
        const double left = core::toSeconds(m_coldUntil - m_events.now()) / core::toSeconds(coldTime);
        factor *= 1.0 + (m_cold - 1.0) * left;
    }
    return core::fromMilliseconds(core::toMilliseconds(work) * factor);
}

////////////////////////////////////////////////////////////
void FakeServer::answer(FakeAnswer::Kind kind, const Done& done, bool retryForbidden)
{
    done({kind, load(), m_drains, retryForbidden});
}

} // namespace sailpath::replay
