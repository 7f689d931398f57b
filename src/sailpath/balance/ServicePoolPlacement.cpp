// Which server a request is sent to, and which are asked for their load first.

#include <sailpath/balance/ServicePool.hpp>
#include <sailpath/core/Hash.hpp>

#include <algorithm>

namespace sailpath::balance
{
namespace
{
constexpr double failurePenalty = 2;   // Usual works that a failed attempt costs when it can be mended
constexpr double lossPenalty = 12;     // Usual works that a failed attempt costs when it cannot
constexpr double suspectShare = 0.5;   // Failures expected of a server that several nodes saw fail
constexpr double ejectedPenalty = 40;  // Usual works; an ejected server is taken only when all are
constexpr double farPenalty = 20;      // Usual works; less than that of an ejected server
constexpr double connectPenalty = 0.5; // Usual works, for a server that a connection would have to be opened to
constexpr double spread = 0.08;        // Random part of a cost, so that nodes with equal views part
constexpr double probeSpread = 0.25;   // Random part when servers to be probed are ranked
constexpr double newcomerShare = 0.25; // Of the searches that ask a server which joined unheard of

////////////////////////////////////////////////////////////
/// \brief A number in [0, 1) that is the same for one search and instance, however often it is asked for
////////////////////////////////////////////////////////////
double chance(std::uint32_t draw, std::uint32_t instance)
{
    constexpr double range = 4294967296.0;
    return static_cast<double>(core::mix(draw, instance) >> 32U) / range;
}

} // namespace

////////////////////////////////////////////////////////////
std::vector<std::shared_ptr<ServerView>> ServicePool::worthProbing(const Wish& wish, std::span<ServerView* const> asked,
                                                                   std::size_t most, core::Timestamp now,
                                                                   core::Random& random) const
{
    const double work = m_work.ms(wish.route);
    Ranking      ranked;
    const auto   consider = [&](const std::shared_ptr<ServerView>& server)
    {
        ++m_looked;
        if (!mayBeAsked(*server, wish, now) || !wantsRequests(*server, false, now) ||
            std::find(asked.begin(), asked.end(), server.get()) != asked.end())
            return;
        const double far = wish.nearFirst && !near(*server) ? farPenalty * work : 0;
        const double connect = server->idle() == 0 ? connectPenalty * work : 0;
        ranked.emplace_back(far + connect + cost(*server, wish, work, now) * (1 + probeSpread * random.unit()), server);
    };
    for (const auto& server : m_own.list())
        consider(server);
    if (m_servers.size() > m_own.list().size() && (!wish.first || ranked.empty()))
    {
        for (unsigned i = 0; i < m_settings.furtherServers; ++i)
            consider(m_servers[random.below(m_servers.size())]);
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const auto& left, const auto& right) { return left.first < right.first; });
    if (wish.first)
        placeNewcomer(ranked, wish, most, now, random);
    std::vector<std::shared_ptr<ServerView>> chosen;
    for (std::size_t i = 0; i < std::min(most, ranked.size()); ++i)
        chosen.push_back(std::move(ranked[i].second));
    return chosen;
}

////////////////////////////////////////////////////////////
void ServicePool::placeNewcomer(Ranking& ranked, const Wish& wish, std::size_t most, core::Timestamp now,
                                core::Random& random) const
{
    std::vector<std::size_t> newcomers;
    std::vector<std::size_t> cold;
    for (std::size_t i = most; i < ranked.size(); ++i)
    {
        const ServerView& server = *ranked[i].second;
        if (server.ejected(now))
            continue;
        // Of hundreds of nodes few may send to a cold server: if they do not look there, it stands idle while others
        // are overloaded.
        if (m_warmUpLimit.limits() && server.cold(now))
            cold.push_back(i);
        else if (server.newcomer() && (!wish.nearFirst || near(server)))
            newcomers.push_back(i);
    }
    // Another server is asked beside it, as the newcomer may be slow.
    if (most > 1 && !cold.empty())
        std::swap(ranked[most - 1], ranked[cold[random.below(cold.size())]]);
    else if (most > 1 && !newcomers.empty() && random.unit() < newcomerShare)
        std::swap(ranked[most - 1], ranked[newcomers[random.below(newcomers.size())]]);
}

////////////////////////////////////////////////////////////
Choice ServicePool::choose(const Wish& wish, core::Timestamp now, core::Random& random) const
{
    const Choice choice = chooseAmong(wish, false, now, random);
    // A server that leaves serves on for a while, and an answer is better than a refusal.
    return choice.server || !wish.lastResort ? choice : chooseAmong(wish, true, now, random);
}

////////////////////////////////////////////////////////////
Choice ServicePool::chooseAmong(const Wish& wish, bool leavers, core::Timestamp now, core::Random& random) const
{
    const double work = m_work.ms(wish.route);
    Choice       best;
    double       bestCost = 0;
    const auto   consider = [&](const std::shared_ptr<ServerView>& server)
    {
        ++m_looked;
        if (!mayBeGiven(*server, wish, now) || !toldWithin(*server, wish.freshest, now) ||
            !wantsRequests(*server, leavers, now))
            return;
        const double value = cost(*server, wish, work, now) * (1 + spread * random.unit());
        if (best.server && value >= bestCost)
            return;
        best.server = server;
        bestCost = value;
    };
    for (const auto& server : m_own.list())
        consider(server);
    if (m_servers.size() > m_own.list().size())
    {
        for (const auto& server : wish.asked)
            consider(server);
        for (unsigned i = 0; !best.server && i < m_settings.furtherServers; ++i)
            consider(m_servers[random.below(m_servers.size())]);
    }
    if (best.server)
    {
        best.finishMs = best.server->finishMs(work, m_work.usual(), now);
        best.crowding = best.server->crowding(m_work.usual().others, now);
    }
    return best;
}

////////////////////////////////////////////////////////////
bool ServicePool::mayBeGiven(const ServerView& server, const Wish& wish, core::Timestamp now) const
{
    return hasRoomFor(server, wish) && bears(server, now) && takes(server, wish, now);
}

////////////////////////////////////////////////////////////
bool ServicePool::mayBeAsked(const ServerView& server, const Wish& wish, core::Timestamp now) const
{
    // To ask is no request: that is how a node learns that a server which may be cold is not.
    return hasRoomFor(server, wish) && (server.doubtful(now) || bears(server, now)) && takes(server, wish, now);
}

////////////////////////////////////////////////////////////
bool ServicePool::hasRoomFor(const ServerView& server, const Wish& wish) const
{
    if (server.retired() || server.evacuated())
        return false;
    if (std::find(wish.tried.begin(), wish.tried.end(), &server) != wish.tried.end())
        return false;
    return m_connections == 0 || server.inFlight() < m_connections;
}

////////////////////////////////////////////////////////////
bool ServicePool::wantsRequests(const ServerView& server, bool leavers, core::Timestamp now) const
{
    const NoticeState& notices = server.notices();
    if (!notices.takesOneMore(now))
        return false;
    return !notices.leaving() || (leavers && notices.leavingFor(now) <= m_settings.leavingGrace);
}

////////////////////////////////////////////////////////////
bool ServicePool::bears(const ServerView& server, core::Timestamp now) const
{
    if (!server.cold(now) || !m_warmUpLimit.limits())
        return true;
    return server.hasTurn(m_warmUpLimit.rate(), now) &&
           m_warmUpLimit.chosen(deployment::shortHash(server.instance()->id), now);
}

////////////////////////////////////////////////////////////
bool ServicePool::takes(const ServerView& server, const Wish& wish, core::Timestamp now) const
{
    // No node alone sends a limited server more than it takes; the sum of all would flood it.
    const SharedLimit* limit = m_mayBeLimited ? server.limit(now) : nullptr;
    return limit == nullptr ||
           limit->lets(chance(wish.draw, deployment::instanceHash(*server.instance())), wish.rank, now);
}

////////////////////////////////////////////////////////////
bool ServicePool::toldWithin(const ServerView& server, core::Duration age, core::Timestamp now)
{
    const double told = server.reportAgeMs(now);
    return age == core::Duration::max() || (told >= 0 && told <= core::toMilliseconds(age));
}

////////////////////////////////////////////////////////////
bool ServicePool::near(const ServerView& server) const
{
    return server.instance()->dataCentre == m_settings.dataCentre;
}

////////////////////////////////////////////////////////////
double ServicePool::cost(const ServerView& server, const Wish& wish, double work, core::Timestamp now) const
{
    const double share = std::max(server.failureShare(now), server.suspect(now) ? suspectShare : 0.0);
    const double risk = share * (wish.repeatable ? failurePenalty : lossPenalty);
    const double absence = server.ejected(now) ? ejectedPenalty : 0;
    // Filling an instance also slows down what it works on already.
    const double crowd = server.crowding(m_work.usual().others, now) * (m_work.usual().fullSlowdown - 1);
    return server.finishMs(work, m_work.usual(), now) + crowd * work + (risk + absence) * work * m_work.usual().pace;
}

} // namespace sailpath::balance
