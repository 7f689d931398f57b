#pragma once

#include <sailpath/core/Time.hpp>

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace sailpath::balance
{
////////////////////////////////////////////////////////////
/// \brief Requests that a cold instance can take from all nodes together
////////////////////////////////////////////////////////////
struct WarmUpBound
{
    double rate{0};   //!< Sustained requests a second; 0 for no limit
    double excess{1}; //!< Factor on the rate allowed in any one second
    double slack{0};  //!< Requests allowed in addition to that
};

////////////////////////////////////////////////////////////
/// \brief Decides which nodes may send to a cold instance, and at which rate
///
/// Load pattern: the instances of a data centre return cold together while the others are overloaded. They look idle to
/// every node, and one more request from each of hundreds of nodes overloads the instance.
///
/// A few nodes, chosen by rendezvous hash of node and instance, may send to it, each one request at once and an equal
/// part of the rate. So the sum is known without coordination: K + rate in any second for K chosen nodes. K is as large
/// as two thirds of the bound allow, so that the bound also holds while nodes know only two thirds of the fleet and
/// therefore choose more nodes. For the same reason members that went silent are still counted for a while
/// (`MemberList`), and a node sends nothing to cold instances until it had time to learn of the other nodes.
////////////////////////////////////////////////////////////
class WarmUpLimit
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Start without members; this node is chosen for no instance
    ///
    /// \param self      Short hash of this node's name
    /// \param startedAt Start of this process
    ////////////////////////////////////////////////////////////
    WarmUpLimit(std::uint32_t self, core::Timestamp startedAt);

    void setBound(const WarmUpBound& bound);                 //!< Set the bound of each instance
    void setMembers(std::span<const std::uint32_t> members); //!< Set the short hashes of all nodes, this one included

    [[nodiscard]] bool hasBound() const; //!< Whether a bound is set
    /// \brief Whether this node may send to the instance at all
    [[nodiscard]] bool isChosen(std::uint32_t instance, core::Timestamp now);

    [[nodiscard]] double   ratePerNode() const; //!< Requests a second that a chosen node may send
    [[nodiscard]] unsigned senderCount() const; //!< Number of nodes chosen for an instance

private:
    [[nodiscard]] bool ranksAmongFirst(std::uint32_t instance) const;

    std::uint32_t                           m_self;     //!< Short hash of this node's name
    core::Timestamp                         m_sendFrom; //!< No requests are sent to cold instances before this time
    WarmUpBound                             m_bound;    //!< Bound of each instance
    std::vector<std::uint32_t>              m_members;  //!< Short hashes of all nodes
    std::unordered_map<std::uint32_t, bool> m_chosen;   //!< Cached choices by instance
};

} // namespace sailpath::balance
