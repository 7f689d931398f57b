#pragma once

#include <sailpath/core/Random.hpp>
#include <sailpath/core/Time.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sailpath::replication
{
////////////////////////////////////////////////////////////
/// \brief Chooses when a node exchanges its list of nodes with another node, and with which
///
/// Load pattern: hundreds of nodes start at once, or a network partition ends.
/// A node that knows only a few of the others ranks itself as a relay, and the
/// nodes that follow it learn of no others. Lists of nodes travel along the
/// links between relays and followers only, so such an island stays apart, and
/// a bound that all nodes share is kept once per island.
///
/// Each island contains a node that watches the store. These nodes exchange
/// lists with a random other node, preferably one that they have not heard from
/// lately, which may belong to another island.
////////////////////////////////////////////////////////////
class MembershipExchange
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Create the schedule of a node
    ///
    /// \param self  Address of this node
    /// \param seeds Addresses that are always candidates, known to be alive or not
    ////////////////////////////////////////////////////////////
    MembershipExchange(std::string self, std::vector<std::string> seeds);

    void recordHeard(const std::string& address,
                     core::Timestamp    at); //!< Record that a node was heard from, by any node

    ////////////////////////////////////////////////////////////
    /// \brief Choose a node to exchange lists with and schedule the next exchange
    ///
    /// \param excluded Addresses of nodes that this node exchanges lists with anyway
    /// \param known    Number of nodes in the list of this node
    ///
    /// \return Address; null when no exchange is due or no node can be chosen
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::optional<std::string> choosePartner(const std::set<std::string>& excluded, std::size_t known,
                                                           core::Random& random, core::Timestamp now);

    void postpone(core::Timestamp until); //!< Begin no exchange before a time

    [[nodiscard]] core::Timestamp nextDue() const; //!< When the next exchange is due

    ////////////////////////////////////////////////////////////
    /// \brief Count the nodes heard from within the last ten minutes, this one included
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::size_t rememberedCount(core::Timestamp now);

private:
    void forgetOld(core::Timestamp now);

    std::string                            m_self;      //!< Address of this node
    std::vector<std::string>               m_seeds;     //!< Addresses from the settings
    std::map<std::string, core::Timestamp> m_lastHeard; //!< When a node was last heard from, by address
    unsigned                               m_done{0};   //!< Exchanges begun since the start
    core::Timestamp                        m_nextAt{};  //!< When the next exchange is due
};

} // namespace sailpath::replication
