#pragma once

#include <sailpath/balance/ServerView.hpp>

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace sailpath::balance
{
////////////////////////////////////////////////////////////
/// \brief The servers of a service among which one node looks first
///
/// Load pattern: thousands of servers, hundreds of nodes, a few requests a
/// second at each. A node that looks at all servers for each request spends its
/// processor on it, meets each server about once an hour, knows nothing of it
/// then and has no connection to it.
///
/// Each node has its own: those of its data centre first, then by rendezvous
/// hash, so that nodes spread evenly over servers without a word, and a change
/// of one server changes the subset of few nodes. A service of no more servers
/// than that is looked at whole.
///
/// Limits: what no server of the subset can do in time is searched for among
/// all, by chance.
////////////////////////////////////////////////////////////
class ServerSubset
{
public:
    using Servers = std::vector<std::shared_ptr<ServerView>>;

    ////////////////////////////////////////////////////////////
    /// \brief Start empty
    ///
    /// \param self       Short hash of the node's name
    /// \param dataCentre Where the node runs
    /// \param most       Servers
    ////////////////////////////////////////////////////////////
    ServerSubset(std::uint32_t self, std::string dataCentre, std::size_t maxSize);

    void add(const std::shared_ptr<ServerView>& server);                              //!< The service has one more
    void remove(const std::shared_ptr<ServerView>& server, const Servers& remaining); //!< It has one less
    void reset(const Servers& all);                                                   //!< It has these

    [[nodiscard]] std::span<const std::shared_ptr<ServerView>> servers() const;
    [[nodiscard]] std::uint64_t                                rankedCount() const; //!< Counts servers that were ranked

private:
    using Rank = std::pair<bool, std::uint64_t>; //!< In the node's data centre; weight

    [[nodiscard]] Rank        rank(const ServerView& server) const;
    [[nodiscard]] std::size_t lowestRankIndex() const;

    std::uint32_t     m_self;           //!< The node
    std::string       m_dataCentre;     //!< Where it runs
    std::size_t       m_maxSize;        //!< Servers
    Servers           m_servers;        //!< In no order
    std::vector<Rank> m_ranks;          //!< Of each
    std::uint64_t     m_rankedCount{0}; //!< Servers that were ranked
};

} // namespace sailpath::balance
