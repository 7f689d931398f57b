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
/// \brief Constants of a start
////////////////////////////////////////////////////////////
struct BootstrapSettings
{
    core::Duration linkTimeout{
        std::chrono::milliseconds{60}}; //!< For a link to come up; a VM still without power says nothing
    core::Duration retryAfter{
        std::chrono::milliseconds{20}}; //!< A node that could not be reached is tried again; doubles twice
    core::Duration extraRelayAfter{
        std::chrono::milliseconds{120}}; //!< Without a copy for so long, follow one relay more
    core::Duration storeReadAfter{
        std::chrono::milliseconds{600}}; //!< From the start, until the store is asked in earnest
    core::Duration relayUpExtension{
        std::chrono::milliseconds{200}}; //!< So much later while a relay's link is up; it serves 25 others beside
    core::Duration storeReadSpread{
        std::chrono::milliseconds{700}}; //!< Over which nodes that ask in earnest do so, at random
    core::Duration earlyReadAfter{std::chrono::milliseconds{
        20}}; //!< From the start without a link: seeds may get power last, so the store is tried
    core::Duration earlyReadTimeout{
        std::chrono::milliseconds{40}}; //!< With that reading; 17 nodes take 18 ms, and 100 ms by 473 held up the seeds
    core::Duration seedConnectWait{std::chrono::milliseconds{40}}; //!< From the start, for a seed to reach another seed
    core::Duration seedAnswerWait{std::chrono::milliseconds{
        150}}; //!< From the start, for a seed that it reached to send a copy or that it has none
    core::Duration progressWindow{
        std::chrono::milliseconds{150}}; //!< Bytes of a copy came so lately: it is on its way, the store is not asked
    core::Duration maxStoreReadDelay{std::chrono::seconds{2}}; //!< From the start; the store is asked in any case then
    unsigned       maxRelays{3};                               //!< Relays followed at once
};

////////////////////////////////////////////////////////////
/// \brief How a node that has no copy of the store yet comes by its first one
///
/// Load pattern: all nodes of a fleet get power within a few tenths of a
/// second and know nobody but their seeds. When each read the store, 473 answers
/// of 0.42 MB went through its one link: 1.4 s and more from start to ready. By
/// relays it is 0.39 s of that same load, whose seeds get power last.
/// So seeds introduce nodes to each other (see `BootstrapRelays`): they name a few
/// strong nodes of each data centre as relays. Only seeds and relays read the
/// store, unless a seed has a copy for them; the others follow relays and get it
/// packed. A node that starts alone gets it from its seed.
///
/// Seeds may also get power last. Meanwhile each node tries a cheap reading for
/// a short time: a fleet of 17 is ready in 56 ms by it, and in 223 ms without;
/// one of hundreds gives up before the store's link is taken for long.
///
/// Limits: whoever has heard nothing in the time that its own reading would
/// take in a crowd asks the store, spread at random so that a fleet whose
/// seeds are all gone does not come at once. A relay that stays silent delays
/// its followers by `extraRelayAfter`, then they follow another beside it.
////////////////////////////////////////////////////////////
class Bootstrap
{
public:
    Bootstrap(NodeAddress self, std::vector<std::string> seeds, core::Timestamp startedAt, core::Random& random);

    void setRelays(std::span<const NodeAddress> relays, core::Timestamp now); //!< A seed named the relays
    void peerHasNoCopy();                                                     //!< Some node said that it has no copy
    void peerStoreFailed(core::Timestamp now,
                         core::Random&   random); //!< A node without a copy said that the store failed it
    void linkUp(const std::string& address, core::Timestamp now);   //!< A link is up
    void linkDown(const std::string& address, core::Timestamp now); //!< A link did not come up, or ended
    void updateProgressed(core::Timestamp now);                     //!< A part of an update came

    [[nodiscard]] bool           isRelay() const;                          //!< This node is to hand on first copies
    [[nodiscard]] core::Duration linkTimeout(core::Timestamp since) const; //!< For a link begun then to come up
    [[nodiscard]] std::vector<std::string> upstreamsToFollow(core::Timestamp now) const; //!< Nodes to follow
    [[nodiscard]] bool                     shouldReadStore(core::Timestamp now) const; //!< The store is to be asked now
    [[nodiscard]] bool shouldReadEarly(core::Timestamp now) const;     //!< A short, cheap reading is worth trying
    [[nodiscard]] core::Timestamp beginEarlyRead(core::Timestamp now); //!< It begins; when it is to be given up
    [[nodiscard]] core::Timestamp nextDue(core::Timestamp now) const;  //!< When that may change

private:
    /// \brief A node that could not be reached
    struct Failure
    {
        unsigned        count{0};  //!< In a row
        core::Timestamp retryAt{}; //!< Not tried again before
    };

    [[nodiscard]] std::vector<std::string> seedsToFollow(core::Timestamp now) const;
    [[nodiscard]] std::vector<std::string> relaysToFollow(core::Timestamp now) const;
    [[nodiscard]] bool                     allSeedsFailed() const;
    [[nodiscard]] bool                     mayTry(const std::string& address, core::Timestamp now) const;
    [[nodiscard]] std::size_t              followLimit(core::Timestamp since, core::Timestamp now) const;

    BootstrapSettings              m_settings;                //!< Constants
    NodeAddress                    m_self;                    //!< This node
    std::vector<std::string>       m_seeds;                   //!< Others only, in this node's order
    bool                           m_isSeed{false};           //!< Others know this node from their start
    core::Timestamp                m_startedAt;               //!< Start
    core::Timestamp                m_storeReadAt;             //!< The store is asked in earnest
    core::Timestamp                m_progressAt{};            //!< A part of an update came last
    bool                           m_isRelay{false};          //!< It was named
    bool                           m_earlyReadStarted{false}; //!< A short reading was begun
    bool                           m_peerHasNoCopy{false};    //!< Somebody else has no copy either
    std::vector<NodeAddress>       m_relays;                  //!< Relays, as named last
    core::Timestamp                m_relaysSince{};           //!< Named first
    std::map<std::string, Failure> m_failures;                //!< By address
    std::optional<core::Timestamp> m_seedLinkSince;           //!< A seed was reached first
    std::set<std::string>          m_linksUp;                 //!< Links to these are up
};

} // namespace sailpath::replication
