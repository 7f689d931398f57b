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
/// \brief Subset of the servers of a service that one node considers before all others
///
/// Load pattern: thousands of servers, hundreds of nodes, a few requests a second at each node. A node that examined
/// all servers for each request would spend its CPU time on that, use each server about once an hour, and by then have
/// neither a recent load report nor an open connection.
///
/// Each node has a subset of its own: servers of its data centre first, then by rendezvous hash. So nodes spread evenly
/// over the servers without coordination, and the change of one server changes the subset of few nodes. A service with
/// no more servers than the subset may hold is considered completely.
///
/// Limits: if no server of the subset can answer in time, others are drawn at random from all servers.
////////////////////////////////////////////////////////////
class ServerSubset
{
public:
    using Servers = std::vector<std::shared_ptr<ServerView>>;

    ////////////////////////////////////////////////////////////
    /// \brief Create an empty subset
    ///
    /// \param self       Short hash of the node's name
    /// \param dataCentre Data centre of the node
    /// \param maxSize    Largest number of servers in the subset
    ////////////////////////////////////////////////////////////
    ServerSubset(std::uint32_t self, std::string dataCentre, std::size_t maxSize);

    void add(const std::shared_ptr<ServerView>& server); //!< Add a server that joined the service
    /// \brief Remove a server; `remaining` are those that the service still has
    void remove(const std::shared_ptr<ServerView>& server, const Servers& remaining);
    void reset(const Servers& all); //!< Choose anew among all servers of the service

    [[nodiscard]] std::span<const std::shared_ptr<ServerView>> servers() const;
    [[nodiscard]] std::uint64_t                                rankedCount() const; //!< Servers ranked since the start

private:
    /// \brief Whether the server is in the data centre of the node; rendezvous weight
    using Rank = std::pair<bool, std::uint64_t>;

    [[nodiscard]] Rank        rank(const ServerView& server) const;
    [[nodiscard]] std::size_t lowestRankIndex() const;

    std::uint32_t     m_self;           //!< Short hash of the node's name
    std::string       m_dataCentre;     //!< Data centre of the node
    std::size_t       m_maxSize;        //!< Largest size of the subset
    Servers           m_servers;        //!< Unordered
    std::vector<Rank> m_ranks;          //!< Ranks, parallel to `m_servers`
    std::uint64_t     m_rankedCount{0}; //!< Servers ranked since the start
};

} // namespace sailpath::balance
