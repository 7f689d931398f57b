#pragma once

#include <sailpath/core/Time.hpp>
#include <sailpath/replication/Message.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace sailpath::replication
{
////////////////////////////////////////////////////////////
/// \brief Chooses the relays to which a seed refers nodes without a copy
///
/// Load pattern: hundreds of nodes without a copy connect to a seed within a
/// few tenths of a second. If the seed served all of them, 158 copies of 24 KB
/// would occupy its link of 20 Mbit/s for 1.5 s. The seed therefore chooses one
/// relay per 25 nodes of a data centre, the strongest known, and sends the
/// other nodes only the relays' addresses.
///
/// Limits: a seed serves a small number of nodes itself. The first relays are
/// chosen only after a delay, because the first nodes to connect are not the
/// strongest. A relay is replaced only by a stronger node; otherwise each new
/// node would be a relay for a moment and read the store.
////////////////////////////////////////////////////////////
class BootstrapRelays
{
public:
    explicit BootstrapRelays(std::uint32_t capacity);

    void updateWaiting(std::size_t followers, core::Timestamp now); //!< Sets the number of followers without a copy
    void copySent(core::Timestamp now);                             //!< Records that this seed sent a copy
    bool tryServe(
        core::Timestamp now); //!< While crowded: whether the seed may send one copy now; if so, starts the interval

    ////////////////////////////////////////////////////////////
    /// \brief Choose the relays of each data centre anew
    ///
    /// \param nodes   Known nodes
    /// \param changes Count of all nodes that have become known so far
    /// \param now     Current time
    ////////////////////////////////////////////////////////////
    void refresh(std::span<const NodeAddress> nodes, std::uint64_t changes, core::Timestamp now);

    [[nodiscard]] bool isCrowded() const; //!< Whether more nodes need a copy than the seed serves
    [[nodiscard]] bool needsRefresh(std::uint64_t changes, core::Timestamp now) const;
    [[nodiscard]] std::optional<core::Timestamp>
    nextRefresh(std::uint64_t changes) const; //!< Returns when `refresh` is due; null if nothing would change
    [[nodiscard]] std::span<const NodeAddress> relaysOf(const std::string& dataCentre) const;
    [[nodiscard]] bool                         isRelay(const NodeAddress& node) const;
    [[nodiscard]] std::vector<NodeAddress>
    relaysFor(const NodeAddress& node) const; //!< Returns the relays to which a node is referred
    [[nodiscard]] std::uint64_t
    relaysHashFor(const NodeAddress& node) const; //!< Returns a hash of these relays, to detect changes

private:
    std::map<std::string, std::vector<NodeAddress>, std::less<>> m_relays;           //!< By data centre
    bool                                                         m_isCrowded{false}; //!< Nodes are referred to relays
    std::uint32_t                                                m_capacity;         //!< Capacity of this seed
    core::Timestamp                                              m_crowdedSince{};   //!< Last change of `m_isCrowded`
    bool        m_awaitsStronger{false};         //!< A data centre has no relay yet because stronger nodes are expected
    std::size_t m_maxServed;                     //!< Nodes that the seed serves itself
    std::deque<core::Timestamp> m_sentAt;        //!< Times at which recent copies were sent
    core::Duration              m_serveInterval; //!< Shortest time between copies while crowded
    core::Timestamp             m_nextServeAt{}; //!< Earliest time of the next copy while crowded
    core::Timestamp             m_nextRefreshAt{}; //!< Earliest time of the next refresh
    std::uint64_t               m_lastChanges{0};  //!< Value of `changes` at the last refresh
};

////////////////////////////////////////////////////////////
/// \brief Choose the relays of a data centre
///
/// The strongest nodes are chosen; among equally strong nodes, current relays come first. Nodes that are much weaker
/// than the strongest node anywhere are left out: 25 copies of 24 KB take 0.24 s on 20 Mbit/s, and to compress one
/// takes 10 ms on a tenth of a processor.
///
/// \param nodes           Known nodes
/// \param dataCentre      Data centre of the relays
/// \param current         Relays chosen so far
/// \param assumedCapacity Lower bound of the capacity that the strongest node is taken to have
///
/// \return One node per 25 nodes of the data centre, or fewer if not enough are strong
////////////////////////////////////////////////////////////
[[nodiscard]] std::vector<NodeAddress> chooseRelays(std::span<const NodeAddress> nodes, std::string_view dataCentre,
                                                    std::span<const NodeAddress> current,
                                                    std::uint32_t                assumedCapacity = 0);

} // namespace sailpath::replication
