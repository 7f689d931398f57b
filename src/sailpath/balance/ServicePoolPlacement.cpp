// Choice of the server that a request is sent to, and of the servers that are probed for their load before.

#include <sailpath/balance/ServicePool.hpp>
#include <sailpath/core/Hash.hpp>

#include <algorithm>

namespace sailpath::balance
{
namespace
{
constexpr double failurePenalty = 2;     // Usual processing times; cost of a failed attempt that may be retried
constexpr double lossPenalty = 12;       // Usual processing times; cost of a failed attempt that may not
constexpr double suspectShare = 0.5;     // Assumed failure share of a suspect server
constexpr double ejectedPenalty = 40;    // Usual processing times; an ejected server is chosen only if all are ejected
constexpr double remotePenalty = 20;     // Usual processing times; for another data centre, below `ejectedPenalty`
constexpr double connectPenalty = 0.5;   // Usual processing times; if a new connection would have to be opened
constexpr double costJitter = 0.08;      // Random part of a cost, so that nodes with equal views choose differently
constexpr double probeCostJitter = 0.25; // Random part of a cost when servers to probe are ranked
constexpr double newcomerShare = 0.25;   // Share of the searches that probe a newcomer

////////////////////////////////////////////////////////////
/// \brief Return a pseudo-random number in [0, 1) that is the same for each call with one request and instance
////////////////////////////////////////////////////////////
double uniformDraw(std::uint32_t draw, std::uint32_t instance)
{
    constexpr double range = 4294967296.0;
    return static_cast<double>(core::mix(draw, instance) >> 32U) / range;
}

} // namespace

////////////////////////////////////////////////////////////
std::vector<std::shared_ptr<ServerView>> ServicePool::selectProbeTargets(const SelectionCriteria&     criteria,
                                                                         std::span<ServerView* const> excluded,
                                                                         std::size_t maxCount, core::Timestamp now,
                                                                         core::Random& random) const
{
    const double workMs = m_work.ms(criteria.route);
    Ranking      ranked;
    const auto   consider = [&](const std::shared_ptr<ServerView>& server)
    {
        ++m_examinedCount;
        if (!isProbeCandidate(*server, criteria, now) || !noticesAllow(*server, false, now) ||
            std::find(excluded.begin(), excluded.end(), server.get()) != excluded.end())
            return;
        const double distanceCost = criteria.localFirst && !isLocal(*server) ? remotePenalty * workMs : 0;
        const double openingCost = server->idleConnections() == 0 ? connectPenalty * workMs : 0;
        ranked.emplace_back(distanceCost + openingCost +
                                cost(*server, criteria, workMs, now) * (1 + probeCostJitter * random.unit()),
                            server);
    };
    for (const auto& server : m_subset.servers())
        consider(server);
    if (m_servers.size() > m_subset.servers().size() && (!criteria.firstRound || ranked.empty()))
    {
        for (unsigned i = 0; i < m_settings.outsideSubsetSamples; ++i)
            consider(m_servers[random.below(m_servers.size())]);
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const auto& left, const auto& right) { return left.first < right.first; });
    if (criteria.firstRound)
        promoteNewcomer(ranked, criteria, maxCount, now, random);
    std::vector<std::shared_ptr<ServerView>> targets;
    for (std::size_t i = 0; i < std::min(maxCount, ranked.size()); ++i)
        targets.push_back(std::move(ranked[i].second));
    return targets;
}

////////////////////////////////////////////////////////////
void ServicePool::promoteNewcomer(Ranking& ranked, const SelectionCriteria& criteria, std::size_t maxCount,
                                  core::Timestamp now, core::Random& random) const
{
    std::vector<std::size_t> newcomers;
    std::vector<std::size_t> cold;
    for (std::size_t i = maxCount; i < ranked.size(); ++i)
    {
        const ServerView& server = *ranked[i].second;
        if (server.ejected(now))
            continue;
        // Only a few of hundreds of nodes may send to a cold server. If these do not probe it, it stays idle while
        // others are overloaded.
        if (m_warmUpLimit.hasBound() && server.cold(now))
            cold.push_back(i);
        else if (server.isNewcomer() && (!criteria.localFirst || isLocal(server)))
            newcomers.push_back(i);
    }
    // The other places are kept, as the newcomer may be slow.
    if (maxCount > 1 && !cold.empty())
        std::swap(ranked[maxCount - 1], ranked[cold[random.below(cold.size())]]);
    else if (maxCount > 1 && !newcomers.empty() && random.unit() < newcomerShare)
        std::swap(ranked[maxCount - 1], ranked[newcomers[random.below(newcomers.size())]]);
}

////////////////////////////////////////////////////////////
Choice ServicePool::choose(const SelectionCriteria& criteria, core::Timestamp now, core::Random& random) const
{
    const Choice choice = chooseAmong(criteria, false, now, random);
    // A leaving server still answers for a while, and an answer is better than a rejection.
    return choice.server || !criteria.allowLeaving ? choice : chooseAmong(criteria, true, now, random);
}

////////////////////////////////////////////////////////////
Choice ServicePool::chooseAmong(const SelectionCriteria& criteria, bool allowLeaving, core::Timestamp now,
                                core::Random& random) const
{
    const double workMs = m_work.ms(criteria.route);
    Choice       best;
    double       bestCost = 0;
    const auto   consider = [&](const std::shared_ptr<ServerView>& server)
    {
        ++m_examinedCount;
        if (!isSendCandidate(*server, criteria, now) || !reportedWithin(*server, criteria.maxReportAge, now) ||
            !noticesAllow(*server, allowLeaving, now))
            return;
        const double candidateCost = cost(*server, criteria, workMs, now) * (1 + costJitter * random.unit());
        if (best.server && candidateCost >= bestCost)
            return;
        best.server = server;
        bestCost = candidateCost;
    };
    for (const auto& server : m_subset.servers())
        consider(server);
    if (m_servers.size() > m_subset.servers().size())
    {
        for (const auto& server : criteria.probed)
            consider(server);
        for (unsigned i = 0; !best.server && i < m_settings.outsideSubsetSamples; ++i)
            consider(m_servers[random.below(m_servers.size())]);
    }
    if (best.server)
    {
        best.finishMs = best.server->finishMs(workMs, m_work.baseline(), now);
        best.crowding = best.server->crowding(m_work.baseline().otherRequests, now);
    }
    return best;
}

////////////////////////////////////////////////////////////
bool ServicePool::isSendCandidate(const ServerView& server, const SelectionCriteria& criteria,
                                  core::Timestamp now) const
{
    return isEligible(server, criteria) && warmUpAllows(server, now) && limitAllows(server, criteria, now);
}

////////////////////////////////////////////////////////////
bool ServicePool::isProbeCandidate(const ServerView& server, const SelectionCriteria& criteria,
                                   core::Timestamp now) const
{
    // A probe is not limited like a request; by it a node learns that a server taken for cold is warm.
    return isEligible(server, criteria) && (server.coldUnconfirmed(now) || warmUpAllows(server, now)) &&
           limitAllows(server, criteria, now);
}

////////////////////////////////////////////////////////////
bool ServicePool::isEligible(const ServerView& server, const SelectionCriteria& criteria) const
{
    if (server.retired() || server.evacuated())
        return false;
    if (std::find(criteria.tried.begin(), criteria.tried.end(), &server) != criteria.tried.end())
        return false;
    return m_connectionLimit == 0 || server.inFlight() < m_connectionLimit;
}

////////////////////////////////////////////////////////////
bool ServicePool::noticesAllow(const ServerView& server, bool allowLeaving, core::Timestamp now) const
{
    const NoticeState& notices = server.notices();
    if (!notices.mayReceiveRequest(now))
        return false;
    return !notices.isLeaving() || (allowLeaving && notices.leavingFor(now) <= m_settings.leavingGrace);
}

////////////////////////////////////////////////////////////
bool ServicePool::warmUpAllows(const ServerView& server, core::Timestamp now) const
{
    if (!server.cold(now) || !m_warmUpLimit.hasBound())
        return true;
    return server.hasColdToken(m_warmUpLimit.ratePerNode(), now) &&
           m_warmUpLimit.isChosen(deployment::shortHash(server.instance()->id), now);
}

////////////////////////////////////////////////////////////
bool ServicePool::limitAllows(const ServerView& server, const SelectionCriteria& criteria, core::Timestamp now) const
{
    // A single node does not send a limited server more than it takes, but the sum over all nodes would overload it.
    const SharedLimit* limit = m_mayBeLimited ? server.limit(now) : nullptr;
    return limit == nullptr ||
           limit->admits(uniformDraw(criteria.draw, deployment::instanceHash(*server.instance())), criteria.rank, now);
}

////////////////////////////////////////////////////////////
bool ServicePool::reportedWithin(const ServerView& server, core::Duration age, core::Timestamp now)
{
    const double ageMs = server.reportAgeMs(now);
    return age == core::Duration::max() || (ageMs >= 0 && ageMs <= core::toMilliseconds(age));
}

////////////////////////////////////////////////////////////
bool ServicePool::isLocal(const ServerView& server) const
{
    return server.instance()->dataCentre == m_settings.dataCentre;
}

////////////////////////////////////////////////////////////
double ServicePool::cost(const ServerView& server, const SelectionCriteria& criteria, double workMs,
                         core::Timestamp now) const
{
    const double share = std::max(server.failureShare(now), server.isSuspect(now) ? suspectShare : 0.0);
    const double risk = share * (criteria.repeatable ? failurePenalty : lossPenalty);
    const double ejection = server.ejected(now) ? ejectedPenalty : 0;
    // Filling an instance also slows down the requests that it is processing.
    const double crowdingCost =
        server.crowding(m_work.baseline().otherRequests, now) * (m_work.baseline().crowdedSlowdown - 1);
    return server.finishMs(workMs, m_work.baseline(), now) + crowdingCost * workMs +
           (risk + ejection) * workMs * m_work.baseline().slowdown;
}

} // namespace sailpath::balance
