#pragma once

#include <sailpath/core/Time.hpp>

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace sailpath::balance
{
////////////////////////////////////////////////////////////
/// \brief What a cold instance bears, summed over all nodes
////////////////////////////////////////////////////////////
struct WarmUpBound
{
    double rate{0};   //!< Requests a second that it bears for long; 0 for no limit
    double excess{1}; //!< Times that rate in any one second
    double slack{0};  //!< And so many requests more
};

////////////////////////////////////////////////////////////
/// \brief Which nodes may send to an instance that is cold, and how often
///
/// Load pattern: the instances of a data centre come back cold together while
/// the others are overloaded. To every node they look idle, and what each of
/// hundreds of nodes takes for one request more is a flood at the instance.
///
/// A few nodes, chosen by rendezvous hash of node and instance, may send to it,
/// each one request at once and an equal part of the rate. So the sum is known
/// without a word between nodes: K + rate in any second for K nodes chosen.
/// K is as large as two thirds of the bound allow, so that nodes which know
/// only two thirds of the fleet, and so choose more of them, still keep it.
/// For the same reason members that went silent count on for a while
/// (`MemberList`), and a node sends nothing to cold instances until it had the
/// time to hear of the others.
////////////////////////////////////////////////////////////
class WarmUpLimit
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Start without members: this node is chosen for nothing
    ///
    /// \param self Short hash of this node's name
    /// \param born Start of this life of the node
    ////////////////////////////////////////////////////////////
    WarmUpLimit(std::uint32_t self, core::Timestamp startedAt);

    void setBound(const WarmUpBound& bound);                 //!< What an instance bears
    void setMembers(std::span<const std::uint32_t> members); //!< Short hashes of all nodes, this one included

    [[nodiscard]] bool     hasBound() const;                                      //!< There is a bound
    [[nodiscard]] bool     isChosen(std::uint32_t instance, core::Timestamp now); //!< This node may send to it at all
    [[nodiscard]] double   ratePerNode() const; //!< Requests a second of a chosen node
    [[nodiscard]] unsigned senderCount() const; //!< Nodes chosen for an instance

private:
    [[nodiscard]] bool ranksAmongFirst(std::uint32_t instance) const;

    std::uint32_t                           m_self;     //!< This node
    core::Timestamp                         m_sendFrom; //!< Nothing is sent to cold instances before
    WarmUpBound                             m_bound;    //!< What an instance bears
    std::vector<std::uint32_t>              m_members;  //!< All nodes
    std::unordered_map<std::uint32_t, bool> m_chosen;   //!< By instance, as far as it was asked
};

} // namespace sailpath::balance
