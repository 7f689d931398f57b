#pragma once

#include <sailpath/core/Random.hpp>
#include <sailpath/core/Time.hpp>
#include <sailpath/replication/Message.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace sailpath::replication
{
////////////////////////////////////////////////////////////
/// \brief Time limits and counts of a node's bootstrap
////////////////////////////////////////////////////////////
struct BootstrapSettings
{
    core::Duration linkTimeout{
        std::chrono::milliseconds{60}}; //!< Shortest connect timeout; a VM without power does not answer
    core::Duration retryAfter{
        std::chrono::milliseconds{20}}; //!< Delay of the first retry of an unreachable node; doubles twice
    core::Duration extraRelayAfter{
        std::chrono::milliseconds{120}}; //!< Time without a copy after which one more relay is followed
    core::Duration storeReadAfter{
        std::chrono::milliseconds{600}}; //!< From the start to the earliest regular read of the store
    core::Duration relayUpExtension{std::chrono::milliseconds{
        200}}; //!< Added to that delay while a link to a relay is up, as the relay also serves 25 other nodes
    core::Duration storeReadSpread{
        std::chrono::milliseconds{700}}; //!< Range of the random delay (jitter) of the regular read
    core::Duration earlyReadAfter{std::chrono::milliseconds{
        20}}; //!< From the start to the early read, if no link is up: seeds may get power last
    core::Duration earlyReadTimeout{
        std::chrono::milliseconds{40}}; //!< For the early read: 17 nodes take 18 ms; 100 ms by 473 nodes delayed seeds
    core::Duration seedConnectWait{
        std::chrono::milliseconds{40}}; //!< From the start, time for a seed to connect to another seed
    core::Duration seedAnswerWait{std::chrono::milliseconds{
        150}}; //!< From the start, time for a connected seed to send a copy or to report that it has none
    core::Duration progressWindow{std::chrono::milliseconds{
        150}}; //!< If bytes of a copy arrived within this time, the copy is in transit and the store is not read
    core::Duration maxStoreReadDelay{
        std::chrono::seconds{2}}; //!< From the start; from this time on the store is read in any case
    unsigned maxRelays{3};        //!< Relays followed at the same time
};

////////////////////////////////////////////////////////////
/// \brief Decides how a node without a copy of the store gets its first one
///
/// Load pattern: all nodes of a fleet get power within a few tenths of a
/// second and know only the addresses of their seeds. If each node reads the
/// store, 473 answers of 0.42 MB pass the store's single link, and nodes are
/// ready 1.4 s or more after their start. With relays the same load takes
/// 0.39 s, even when the seeds get power last.
///
/// Seeds therefore refer new nodes to relays (see `BootstrapRelays`), a few
/// strong nodes of each data centre. Only seeds and relays read the store,
/// and only if no seed has a copy for them; all other nodes follow relays and
/// receive the copy compressed. A node that starts alone gets the copy from a
/// seed.
///
/// Because seeds may get power last, each node without a link also tries one
/// cheap early read of the store with a short timeout. It makes a fleet of
/// 17 nodes ready in 56 ms instead of 223 ms; hundreds of nodes give up
/// before they occupy the store's link for long.
///
/// Limits: a node that receives nothing for as long as a read by the whole
/// fleet would take reads the store itself. A random delay keeps a fleet
/// whose seeds are all down from reading at the same time. A silent relay
/// delays its followers by `extraRelayAfter`; after that they follow a second
/// relay too.
////////////////////////////////////////////////////////////
class Bootstrap
{
public:
    Bootstrap(NodeAddress self, std::vector<std::string> seeds, core::Timestamp startedAt, core::Random& random);

    void setRelays(std::span<const NodeAddress> relays, core::Timestamp now); //!< Replaces the relays, as a seed sent
    void peerHasNoCopy();                                                     //!< Records that a peer has no copy
    void peerStoreFailed(core::Timestamp now,
                         core::Random&   random); //!< Records that the store failed a peer without a copy
    void linkUp(const std::string& address, core::Timestamp now);   //!< Records that a link was opened
    void linkDown(const std::string& address, core::Timestamp now); //!< Records that a link failed to open or closed
    void updateProgressed(core::Timestamp now);                     //!< Records that a part of an update arrived

    [[nodiscard]] bool isRelay() const; //!< Whether this node serves first copies to other nodes
    [[nodiscard]] core::Duration
    linkTimeout(core::Timestamp since) const; //!< Returns the connect timeout of a link that is being opened since then
    [[nodiscard]] std::vector<std::string>
                       upstreamsToFollow(core::Timestamp now) const; //!< Lists the seeds and relays to follow
    [[nodiscard]] bool shouldReadStore(core::Timestamp now) const;   //!< Whether a regular read of the store is due
    [[nodiscard]] bool shouldReadEarly(core::Timestamp now) const;   //!< Whether the early read is due
    [[nodiscard]] core::Timestamp
    beginEarlyRead(core::Timestamp now); //!< Records that the early read begins; returns the time at which it times out
    [[nodiscard]] core::Timestamp
    nextDue(core::Timestamp now) const; //!< Returns the next time at which one of these decisions may change

private:
    /// \brief Failed attempts to connect to a node
    struct Failure
    {
        unsigned        count{0};  //!< Consecutive failures
        core::Timestamp retryAt{}; //!< Earliest time of the next attempt
    };

    [[nodiscard]] std::vector<std::string> seedsToFollow(core::Timestamp now) const;
    [[nodiscard]] std::vector<std::string> relaysToFollow(core::Timestamp now) const;
    [[nodiscard]] bool                     allSeedsFailed() const;
    [[nodiscard]] bool                     mayTry(const std::string& address, core::Timestamp now) const;
    [[nodiscard]] std::size_t              followLimit(core::Timestamp since, core::Timestamp now) const;

    BootstrapSettings              m_settings;                //!< Time limits and counts
    NodeAddress                    m_self;                    //!< This node
    std::vector<std::string>       m_seeds;                   //!< Addresses of other seeds, in this node's order
    bool                           m_isSeed{false};           //!< This node is one of the configured seeds
    core::Timestamp                m_startedAt;               //!< Start of this node
    core::Timestamp                m_storeReadAt;             //!< Earliest regular read of the store
    core::Timestamp                m_progressAt{};            //!< Last arrival of a part of an update
    bool                           m_isRelay{false};          //!< This node is a seed or was chosen as a relay
    bool                           m_earlyReadStarted{false}; //!< The early read was begun
    bool                           m_peerHasNoCopy{false};    //!< At least one peer has no copy either
    std::vector<NodeAddress>       m_relays;                  //!< Relays last sent by a seed, without this node
    core::Timestamp                m_relaysSince{};           //!< Time at which the first relays were received
    std::map<std::string, Failure> m_failures;                //!< By address
    std::optional<core::Timestamp> m_seedLinkSince;           //!< Time at which the first link to a seed opened
    std::set<std::string>          m_linksUp;                 //!< Addresses with an open link
};

} // namespace sailpath::replication
