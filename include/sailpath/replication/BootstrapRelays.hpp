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
/// \brief Which nodes a seed names as relays of first copies to nodes that start
///
/// Load pattern: hundreds of nodes that have no copy come to a seed within a
/// few tenths of a second. Were all served by it, 158 copies of 24 KB would
/// take its link of 20 Mbit/s 1.5 s. So it names one relay for each 25 nodes of
/// a data centre, the strongest known, and sends it nothing but names.
///
/// Limits: a few nodes are served by the seed itself. Names are given
/// `gatherDelay` after more came, as the first to come are not the strongest; and
/// whoever is named stays so unless a stronger one comes, or each newcomer
/// would be named for a moment and read the store.
////////////////////////////////////////////////////////////
class BootstrapRelays
{
public:
    explicit BootstrapRelays(std::uint32_t capacity);

    void updateWaiting(std::size_t followers, core::Timestamp now); //!< So many followers have no copy
    void copySent(core::Timestamp now);                             //!< A copy was sent
    bool tryServe(core::Timestamp now); //!< In a crowd, whether one who waited long gets a copy here all the same

    ////////////////////////////////////////////////////////////
    /// \brief Choose anew, if there is a crowd and nodes are new
    ///
    /// \param nodes   Nodes known
    /// \param changes Counts nodes that became known
    /// \param now     Time
    ////////////////////////////////////////////////////////////
    void refresh(std::span<const NodeAddress> nodes, std::uint64_t changes, core::Timestamp now);

    [[nodiscard]] bool isCrowded() const; //!< Newcomers are referred to relays
    [[nodiscard]] bool needsRefresh(std::uint64_t changes, core::Timestamp now) const;
    [[nodiscard]] std::optional<core::Timestamp>
                                               nextRefresh(std::uint64_t changes) const; //!< When it would do something
    [[nodiscard]] std::span<const NodeAddress> relaysOf(const std::string& dataCentre) const;
    [[nodiscard]] bool                         isRelay(const NodeAddress& node) const;
    [[nodiscard]] std::vector<NodeAddress>     relaysFor(const NodeAddress& node) const; //!< What it is to be told
    [[nodiscard]] std::uint64_t relaysHashFor(const NodeAddress& node) const;            //!< Of what it is to be told

private:
    std::map<std::string, std::vector<NodeAddress>, std::less<>> m_relays;           //!< By data centre
    bool                                                         m_isCrowded{false}; //!< More came than are served here
    std::uint32_t                                                m_capacity;         //!< Of the seed
    core::Timestamp                                              m_crowdedSince{};   //!< Beginning of the crowd
    bool        m_awaitsStronger{false};           //!< Some data centre has no relay, as stronger nodes are awaited
    std::size_t m_maxServed;                       //!< Served by the seed itself
    std::deque<core::Timestamp> m_sentAt;          //!< Copies sent of late
    core::Duration              m_serveInterval;   //!< Between copies in a crowd
    core::Timestamp             m_nextServeAt{};   //!< Not before
    core::Timestamp             m_nextRefreshAt{}; //!< Not before
    std::uint64_t               m_lastChanges{0};  //!< At the last choice
};

////////////////////////////////////////////////////////////
/// \brief Relays of a data centre: those named before, and the strongest nodes beside them
///
/// None that are much weaker than the strongest node anywhere: 25 copies of 24 KB take 0.24 s on 20 Mbit/s, and packing one a tenth of
/// a processor 10 ms.
///
/// \param nodes      Nodes known
/// \param dataCentre Where the relays are to run
/// \param named       Relays so far
/// \param leastStrong Capacity that the strongest node is taken to have at least
////////////////////////////////////////////////////////////
[[nodiscard]] std::vector<NodeAddress> chooseRelays(std::span<const NodeAddress> nodes, std::string_view dataCentre,
                                                    std::span<const NodeAddress> current,
                                                    std::uint32_t                assumedCapacity = 0);

} // namespace sailpath::replication
