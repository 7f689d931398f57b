#include <sailpath/balance/ServerSubset.hpp>

#include <sailpath/core/Hash.hpp>
#include <sailpath/deployment/ServerFailure.hpp>

#include <algorithm>

namespace sailpath::balance
{
////////////////////////////////////////////////////////////
ServerSubset::ServerSubset(std::uint32_t self, std::string dataCentre, std::size_t maxSize) :
m_self(self),
m_dataCentre(std::move(dataCentre)),
m_maxSize(maxSize)
{
}

////////////////////////////////////////////////////////////
ServerSubset::Rank ServerSubset::rank(const ServerView& server) const
{
    // The weight that also chooses the nodes for a cold server, so a chosen node has the server in its subset.
    const deployment::Instance& instance = *server.instance();
    return {instance.dataCentre == m_dataCentre, core::mix(m_self, deployment::shortHash(instance.id))};
}

////////////////////////////////////////////////////////////
std::size_t ServerSubset::lowestRankIndex() const
{
    return static_cast<std::size_t>(std::min_element(m_ranks.begin(), m_ranks.end()) - m_ranks.begin());
}

////////////////////////////////////////////////////////////
void ServerSubset::add(const std::shared_ptr<ServerView>& server)
{
    ++m_rankedCount;
    const Rank newRank = rank(*server);
    if (m_servers.size() < m_maxSize)
    {
        m_servers.push_back(server);
        m_ranks.push_back(newRank);
        return;
    }
    const std::size_t lowest = lowestRankIndex();
    if (newRank < m_ranks[lowest])
        return;
    m_servers[lowest] = server;
    m_ranks[lowest] = newRank;
}

////////////////////////////////////////////////////////////
void ServerSubset::remove(const std::shared_ptr<ServerView>& server, const Servers& remaining)
{
    const auto found = std::find(m_servers.begin(), m_servers.end(), server);
    if (found == m_servers.end())
        return;
    // The server with the next rank is one that the subset left out.
    if (remaining.size() >= m_maxSize)
        return reset(remaining);
    m_ranks.erase(m_ranks.begin() + (found - m_servers.begin()));
    m_servers.erase(found);
}

////////////////////////////////////////////////////////////
void ServerSubset::reset(const Servers& all)
{
    m_servers.clear();
    m_ranks.clear();
    for (const auto& server : all)
        add(server);
}

////////////////////////////////////////////////////////////
std::span<const std::shared_ptr<ServerView>> ServerSubset::servers() const
{
    return m_servers;
}

////////////////////////////////////////////////////////////
std::uint64_t ServerSubset::rankedCount() const
{
    return m_rankedCount;
}

} // namespace sailpath::balance
