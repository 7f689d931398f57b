#include <sailpath/balance/ServerView.hpp>

#include <algorithm>
#include <cmath>

namespace sailpath::balance
{
namespace
{
constexpr double   ratioGain = 0.2;          // Share of one answer in an instance's latency ratio
constexpr double   leastRatio = 0.5;         // Bound of the ratio
constexpr double   largestRatio = 20;        // Bound of one observation
constexpr double   coldPace = 1.6;           // Assumed of an instance that is still warming up
constexpr double   failureGain = 0.3;        // Share of one attempt in the failure share
constexpr double   failureHalfLifeMs = 3000; // How fast a failure is forgotten without further attempts
constexpr double   crowdedFrom = 0.7;        // Share of the slots taken from which an instance may become slower
constexpr unsigned failuresToEject = 2;      // In a row
constexpr auto     firstEjection = std::chrono::milliseconds{800};
constexpr auto     longestEjection = std::chrono::seconds{6};
constexpr auto     witnessLife = std::chrono::seconds{4}; // Two requests or more of all nodes reach a server in it
constexpr double   witnessRatio = 3;    // Times the usual witnesses of the others, and one more, are reason to suspect;
                                        // a bad link, which sees all fail, is none
constexpr unsigned fewestWitnesses = 2; // One node's word is not enough
constexpr auto     firstSuspicion = std::chrono::seconds{8};
constexpr auto     suspicionMemory = std::chrono::seconds{10}; // After its end the next one lasts twice as long
constexpr unsigned mostSuspicionDoublings = 2;
constexpr double recentMs = 600; // Fading of what was sent before a limit was known: the part of a second that a third
                                 // of the rate cannot make up for by itself
constexpr auto   firstShed = std::chrono::milliseconds{60};
constexpr auto   longestShed = std::chrono::milliseconds{1000};

} // namespace

////////////////////////////////////////////////////////////
ServerView::ServerView(deployment::Instance instance, const Settings& settings, core::Timestamp now) :
m_settings(settings),
m_instance(std::make_shared<const deployment::Instance>(std::move(instance))),
m_coldUntil(now + m_instance->warmUp),
m_turnsAt(now)
{
}

////////////////////////////////////////////////////////////
void ServerView::joined()
{
    m_joined = true;
}

////////////////////////////////////////////////////////////
void ServerView::update(deployment::Instance instance, core::Timestamp now)
{
    if (instance.warmUp != m_instance->warmUp)
        m_coldUntil = std::max<core::Timestamp>(m_coldUntil, now + instance.warmUp);
    m_instance = std::make_shared<const deployment::Instance>(std::move(instance));
}

////////////////////////////////////////////////////////////
void ServerView::retire()
{
    m_retired = true;
}

////////////////////////////////////////////////////////////
bool ServerView::retired() const
{
    return m_retired;
}

////////////////////////////////////////////////////////////
void ServerView::evacuate()
{
    m_evacuated = true;
}

////////////////////////////////////////////////////////////
void ServerView::takenBack(core::Duration warmUp, core::Timestamp now)
{
    m_evacuated = false;
    m_coldUntil = std::max<core::Timestamp>(m_coldUntil, now + warmUp);
    m_doubtful = true;
}

////////////////////////////////////////////////////////////
bool ServerView::toldWarmUp(core::Duration left, core::Timestamp now)
{
    const bool believed = cold(now);
    m_coldUntil = now + left;
    m_doubtful = false;
    return believed != cold(now);
}

////////////////////////////////////////////////////////////
bool ServerView::toldLimit(double perSecond, core::Timestamp at, double doublings, core::Timestamp now)
{
    if (m_limit && m_limit->hasEnded(now))
        m_limit.reset();
    if (!m_limit && perSecond == unlimited)
        return false;
    if (!m_limit)
    {
        m_limit.emplace(doublings, now);
        // The server counts what it had got just before with what follows; left out, it would get more than it bears.
        const bool changed = m_limit->recordLimit(perSecond, at, now);
        m_limit->recordSent(recent(now), now);
        return changed;
    }
    return m_limit->recordLimit(perSecond, at, now);
}

////////////////////////////////////////////////////////////
void ServerView::sentElsewhere(double requests, double doublings, core::Timestamp now)
{
    if (m_limit)
        m_limit->recordSentElsewhere(requests, doublings, now);
}

////////////////////////////////////////////////////////////
double ServerView::recent(core::Timestamp now) const
{
    return m_recent * std::exp(-core::toMilliseconds(now - m_recentAt) / recentMs);
}

////////////////////////////////////////////////////////////
const SharedLimit* ServerView::limit(core::Timestamp now) const
{
    return m_limit && !m_limit->hasEnded(now) ? &*m_limit : nullptr;
}

////////////////////////////////////////////////////////////
ServerNotice ServerView::noticed(const ServerNotice& notice, double spread, core::Timestamp now)
{
    return m_notices.record(notice, spread, now);
}

////////////////////////////////////////////////////////////
void ServerView::accepted(core::Timestamp sentAt)
{
    m_notices.recordAccepted(sentAt);
}

////////////////////////////////////////////////////////////
void ServerView::keepNotices(const NoticeState& notices)
{
    m_notices = notices;
}

////////////////////////////////////////////////////////////
const NoticeState& ServerView::notices() const
{
    return m_notices;
}

////////////////////////////////////////////////////////////
void ServerView::sent(core::Timestamp now)
{
    ++m_inFlight;
    m_recent = recent(now) + 1;
    m_recentAt = now;
    m_notices.recordSent(now);
    if (m_limit)
        m_limit->recordSent(1, now);
}

////////////////////////////////////////////////////////////
void ServerView::ended(core::Timestamp)
{
    --m_inFlight;
}

////////////////////////////////////////////////////////////
void ServerView::reported(const Load& load, core::Timestamp now)
{
    const double all = load.running + load.waiting;
    m_report = Report{load, std::max(0.0, all - m_inFlight), now};
}

////////////////////////////////////////////////////////////
void ServerView::answered(double latencyMs, double expectedMs)
{
    const double seen = std::min(largestRatio, latencyMs / std::max(1.0, expectedMs));
    m_ratio += ratioGain * (seen - m_ratio);
    m_failures -= failureGain * m_failures;
    m_inRow = 0;
    m_sheds = 0;
    m_ejectedUntil = {};
    m_shedUntil = {};
}

////////////////////////////////////////////////////////////
void ServerView::overdue(double elapsedMs, double expectedMs)
{
    const double seen = std::min(largestRatio, elapsedMs / std::max(1.0, expectedMs));
    if (seen > m_ratio)
        m_ratio += ratioGain * (seen - m_ratio);
}

////////////////////////////////////////////////////////////
void ServerView::failed(core::Timestamp now)
{
    m_failures = failureShare(now);
    m_failures += failureGain * (1 - m_failures);
    m_failuresAt = now;
    ++m_inRow;
    if (m_inRow < failuresToEject)
        return;
    const auto doublings = std::min(m_inRow - failuresToEject, 4U);
    m_ejectedUntil = now + std::min<core::Duration>(firstEjection * (1U << doublings), longestEjection);
}

////////////////////////////////////////////////////////////
bool ServerView::failedElsewhere(std::uint32_t node, double all, std::size_t servers, core::Timestamp now)
{
    std::erase_if(m_witnesses,
                  [&](const auto& witness) { return witness.first == node || now - witness.second > witnessLife; });
    m_witnesses.emplace_back(node, now);
    const auto   count = static_cast<double>(m_witnesses.size());
    const auto   others = static_cast<double>(std::max<std::size_t>(servers, 2) - 1);
    const double usually = std::max(0.0, all - count) / others;
    return m_witnesses.size() >= fewestWitnesses && count > 1 + witnessRatio * usually && !suspect(now);
}

////////////////////////////////////////////////////////////
void ServerView::suspectFrom(core::Timestamp now)
{
    const bool again = m_suspectUntil != core::Timestamp{} && now - m_suspectUntil < suspicionMemory;
    m_suspicions = again ? std::min(m_suspicions + 1, mostSuspicionDoublings) : 0;
    m_suspectUntil = now + firstSuspicion * (1U << m_suspicions);
}

////////////////////////////////////////////////////////////
bool ServerView::suspect(core::Timestamp now) const
{
    return now < m_suspectUntil;
}

////////////////////////////////////////////////////////////
void ServerView::shed(core::Timestamp now)
{
    const auto doublings = std::min(m_sheds, 5U);
    ++m_sheds;
    m_shedUntil = now + std::min<core::Duration>(firstShed * (1U << doublings), longestShed);
}

////////////////////////////////////////////////////////////
void ServerView::setIdleConnections(unsigned count)
{
    m_idle = count;
}

////////////////////////////////////////////////////////////
void ServerView::setOpenConnections(unsigned count)
{
    m_open = count;
}

////////////////////////////////////////////////////////////
double ServerView::crowding(double others, core::Timestamp now) const
{
    const double taken = (occupancy(others, now) + 1) / std::max(1U, m_instance->slots);
    return std::clamp((taken - crowdedFrom) / (1 - crowdedFrom), 0.0, 1.0);
}

////////////////////////////////////////////////////////////
bool ServerView::full(const Usual& usual, core::Timestamp now) const
{
    const double slots = std::max(1U, m_instance->slots);
    const auto   rate = [&](double requests)
    {
        const double crowding = std::clamp((requests / slots - crowdedFrom) / (1 - crowdedFrom), 0.0, 1.0);
        return std::min(requests, slots) / (1 + (usual.fullSlowdown - 1) * crowding);
    };
    const double most = occupancy(usual.others, now) + 1;
    for (double requests = 1; requests < most; ++requests)
    {
        if (rate(requests) >= rate(most))
            return true;
    }
    return false;
}

////////////////////////////////////////////////////////////
double ServerView::finishMs(double workMs, const Usual& usual, core::Timestamp now) const
{
    const double slots = std::max(1U, m_instance->slots);
    const double ahead = std::max(0.0, occupancy(usual.others, now) + 1 - slots);
    double       speed = paceNow(usual.pace, now) * ratio();
    speed *= 1 + (usual.fullSlowdown - 1) * crowding(usual.others, now);
    double time = speed * (workMs + ahead / slots * usual.workMs);
    if (m_instance->dataCentre != m_settings.dataCentre)
        time += core::toMilliseconds(m_settings.otherDataCentre);
    if (m_idle == 0)
        time += core::toMilliseconds(m_settings.connectCost);
    if (now < m_shedUntil)
        time += 4 * usual.workMs;
    return time;
}

////////////////////////////////////////////////////////////
double ServerView::occupancy(double others, core::Timestamp now) const
{
    double elsewhere = others;
    if (m_report)
    {
        const double age = core::toMilliseconds(now - m_report->at);
        const double worth = std::exp(-age / core::toMilliseconds(m_settings.reportLife));
        elsewhere = others + worth * (m_report->others - others);
    }
    return m_inFlight + elsewhere;
}

////////////////////////////////////////////////////////////
double ServerView::paceNow(double usual, core::Timestamp now) const
{
    // What a cold instance reports has its slowness in it already: counted twice, work that it can do in time would be
    // held to be late there, and instances that came back cold would stand idle.
    const double expected = usual * (cold(now) ? coldPace : 1);
    if (!m_report)
        return expected;
    const double age = core::toMilliseconds(now - m_report->at);
    return expected + std::exp(-age / core::toMilliseconds(m_settings.reportLife)) * (m_report->load.pace - expected);
}

////////////////////////////////////////////////////////////
double ServerView::failureShare(core::Timestamp now) const
{
    return m_failures * std::exp2(-core::toMilliseconds(now - m_failuresAt) / failureHalfLifeMs);
}

////////////////////////////////////////////////////////////
bool ServerView::ejected(core::Timestamp now) const
{
    return now < m_ejectedUntil;
}

////////////////////////////////////////////////////////////
bool ServerView::evacuated() const
{
    return m_evacuated;
}

////////////////////////////////////////////////////////////
bool ServerView::cold(core::Timestamp now) const
{
    return now < m_coldUntil;
}

////////////////////////////////////////////////////////////
bool ServerView::doubtful(core::Timestamp now) const
{
    return m_doubtful && cold(now);
}

////////////////////////////////////////////////////////////
bool ServerView::hasTurn(double perSecond, core::Timestamp now) const
{
    return m_turns + perSecond * core::toSeconds(now - m_turnsAt) >= 1;
}

////////////////////////////////////////////////////////////
void ServerView::takeTurn(double perSecond, core::Timestamp now)
{
    m_turns = std::min(1.0, m_turns + perSecond * core::toSeconds(now - m_turnsAt)) - 1;
    m_turnsAt = now;
}

////////////////////////////////////////////////////////////
bool ServerView::newcomer() const
{
    // What it told while it was cold says little of it: those who were told then would not look there again.
    return m_joined && (!m_report || m_report->at < m_coldUntil);
}

////////////////////////////////////////////////////////////
double ServerView::reportAgeMs(core::Timestamp now) const
{
    return m_report ? core::toMilliseconds(now - m_report->at) : -1;
}

////////////////////////////////////////////////////////////
std::optional<double> ServerView::reportedOthers() const
{
    return m_report ? std::optional<double>(m_report->others) : std::nullopt;
}

////////////////////////////////////////////////////////////
const std::shared_ptr<const deployment::Instance>& ServerView::instance() const
{
    return m_instance;
}

////////////////////////////////////////////////////////////
unsigned ServerView::inFlight() const
{
    return m_inFlight;
}

////////////////////////////////////////////////////////////
unsigned ServerView::open() const
{
    return m_open;
}

////////////////////////////////////////////////////////////
unsigned ServerView::idle() const
{
    return m_idle;
}

////////////////////////////////////////////////////////////
double ServerView::ratio() const
{
    return std::max(leastRatio, m_ratio);
}

} // namespace sailpath::balance
