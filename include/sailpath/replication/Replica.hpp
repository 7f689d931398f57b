#pragma once

#include <sailpath/core/Random.hpp>
#include <sailpath/core/Time.hpp>
#include <sailpath/replication/Bootstrap.hpp>
#include <sailpath/replication/BootstrapRelays.hpp>
#include <sailpath/replication/ItemSource.hpp>
#include <sailpath/replication/ItemTable.hpp>
#include <sailpath/replication/MemberList.hpp>
#include <sailpath/replication/MembershipExchange.hpp>
#include <sailpath/replication/Message.hpp>
#include <sailpath/replication/ServerGossip.hpp>

#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace sailpath::replication
{
////////////////////////////////////////////////////////////
/// \brief Settings of a node's replica of the store
////////////////////////////////////////////////////////////
struct ReplicaSettings
{
    NodeAddress              self;                                          //!< This node
    std::vector<std::string> seeds;                                         //!< `IP:PORT` of the nodes contacted first
    core::Duration           watchTimeout{std::chrono::milliseconds{1000}}; //!< Longest wait of one watch call
    core::Duration           staleAfter{
        std::chrono::milliseconds{1400}}; //!< Age of the copy at which this node calls the store itself
    core::Duration heartbeatInterval{
        std::chrono::milliseconds{350}}; //!< Between two updates to a follower when nothing has changed
    core::Duration linkTimeout{
        std::chrono::milliseconds{1100}}; //!< Time without an update after which a relay's link is closed
    core::Duration relayBackoff{std::chrono::seconds{3}}; //!< Time for which a relay that failed is not used
    core::Duration startupPeriod{std::chrono::milliseconds{
        600}}; //!< From the start; until then only seeds and nodes that seeds named rank as relays
    core::Duration connectTimeout{std::chrono::milliseconds{700}};      //!< For a link to a relay to open
    core::Duration initialStoreBackoff{std::chrono::milliseconds{250}}; //!< After one failed call of the store
    core::Duration nodeTtl{std::chrono::seconds{20}}; //!< Since a node was last heard from, to rank and list it
    core::Duration countTtl{
        std::chrono::seconds{25}};         //!< Since a node was last heard from, to count it for shared budgets
    unsigned       watcherCount{2};        //!< Relays that watch the store for the whole fleet
    unsigned       nodesPerRelay{75};      //!< One more relay is chosen for each so many nodes
    unsigned       largeFleetSize{30};     //!< Number of nodes from which each data centre has its own relays
    unsigned       relaysPerDataCentre{2}; //!< In a large fleet
    unsigned       upstreamCount{2};       //!< Relays that a node follows
    core::Duration watchPause{
        std::chrono::milliseconds{80}}; //!< Between changes and the next watch, so that it returns several changes
    core::Duration proofWait{
        std::chrono::milliseconds{40}}; //!< From the start; time for relays to prove a first copy that may be old
    core::Duration batchDelay{std::chrono::milliseconds{25}}; //!< Shortest time between two updates to a follower
    std::uint64_t  randomSeed{1};                             //!< Of backoff jitter and the first copy's random delays
};

using LinkId = std::uint64_t; //!< Odd for links that the replica opens; the program numbers those it accepts

struct ReadStore //!< Read all items; answer with `storeRead` or `storeFailed`
{
    ReadMode freshness{ReadMode::Latest}; //!< How old the items may be
};
struct WatchStore //!< Wait for changes; answer with `storeChanged`, `historyLost` or `storeFailed`
{
    std::uint64_t  after{0}; //!< Revision after which changes are wanted
    core::Duration wait{};   //!< Longest wait for a change
};
struct CancelStoreCall //!< Abandon the pending call without an answer
{
};
struct OpenLink //!< Connect; answer with `linkOpened` or `linkClosed`
{
    LinkId      link{0};
    std::string address;
};
struct CloseLink //!< Close without an answer
{
    LinkId link{0};
};
struct SendHello
{
    LinkId link{0};
    Hello  hello;
};
struct SendUpdate
{
    LinkId link{0};
    Update update;
};
struct SendReport
{
    LinkId link{0};
    Report report;
};
struct LogEvent //!< Log a change of the replica's state
{
    std::string           event;
    std::string           subject;
    std::optional<double> value{0}; //!< Null for an age when the copy was never proved current
};

using ReplicaAction = std::variant<ReadStore, WatchStore, CancelStoreCall, OpenLink, CloseLink, SendHello, SendUpdate,
                                   SendReport, LogEvent>;

////////////////////////////////////////////////////////////
/// \brief One node's replica of the store, kept up to date with few store calls for the whole fleet
///
/// All nodes rank the nodes they know in the same order. The highest ranked
/// are relays, and the first of the relays are watchers: they watch the store
/// and push changes to the others. In a large fleet the relays of each data
/// centre follow the watchers and push to the nodes of their data centre.
/// Each update states the age of the sender's copy. A node whose copy grows
/// stale follows another relay, then calls the store itself.
///
/// A copy is proved current as of a time when the store, directly or through
/// relays, shows that the copy was the store's content at that time.
///
/// The class does no input or output, starts no threads and reads no clock:
/// callers carry out the actions it returns and pass in events and the time.
////////////////////////////////////////////////////////////
class Replica
{
public:
    Replica(ReplicaSettings settings, core::Timestamp now);

    void tick(core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Handle the answer to `ReadStore`
    ///
    /// \param items Items that were read
    /// \param at    Revision that the items are complete as of
    /// \param asOf  Time as of which the items are a snapshot of the store; null when they may be old or were read
    ///              at several moments
    /// \param now   Current time
    /// \param upTo  When the items are no snapshot: revision that none of them is newer than, if known
    ////////////////////////////////////////////////////////////
    void storeRead(std::span<const Item> items, std::uint64_t at, std::optional<core::Timestamp> asOf,
                   core::Timestamp now, std::uint64_t upTo = std::numeric_limits<std::uint64_t>::max());

    ////////////////////////////////////////////////////////////
    /// \brief Handle the answer to `WatchStore`
    ///
    /// \param items Changes after the revision of the call; empty when the wait ended without one
    /// \param at    Revision that the store names
    /// \param now   Current time
    ////////////////////////////////////////////////////////////
    void storeChanged(std::span<const Item> items, std::uint64_t at, core::Timestamp now);
    void historyLost(core::Timestamp now); //!< Handle a `WatchStore` after whose revision the store has dropped changes
    void storeFailed(core::Timestamp now); //!< Handle a call of the store that was refused or timed out

    void linkOpened(LinkId link, core::Timestamp now);       //!< Handle the success of an `OpenLink`
    void linkDataReceived(LinkId link, core::Timestamp now); //!< Handle the arrival of a part of an update
    void linkClosed(LinkId link, core::Timestamp now);       //!< Handle a link that ended or could not be opened
    void helloReceived(LinkId link, const Hello& hello, core::Timestamp now);    //!< Add the sender as a follower
    void updateReceived(LinkId link, const Update& update, core::Timestamp now); //!< Handle an update of a relay
    void reportReceived(LinkId link, const Report& report, core::Timestamp now); //!< Handle a report of a follower
    void serverFailed(std::uint32_t   server,
                      core::Timestamp now); //!< Report an instance, by the hash of its id, that this node saw fail

    void serverEnded(const EndRecord& record, core::Timestamp at,
                     core::Timestamp now); //!< Report an instance that this node saw end at a time
    void requestServed(const core::ContentHash& content,
                       core::Timestamp now); //!< Report a request that was answered after it had run on an ended server
    void serverLimited(const LimitRecord& record, core::Timestamp at,
                       core::Timestamp now); //!< Report a server's limit as of a time, and the requests sent under it

    [[nodiscard]] std::vector<ReplicaAction> takeActions();       //!< Actions to carry out, since the last call
    [[nodiscard]] std::vector<Item>          takeChanges();       //!< Items that changed here since the last call
    [[nodiscard]] std::vector<ServerReport>  takeServerReports(); //!< Reports of other nodes since the last call
    [[nodiscard]] core::Timestamp            nextDue() const;     //!< When `tick` is to be called next

    [[nodiscard]] const ItemTable& table() const;                  //!< The copy
    [[nodiscard]] core::Duration   age(core::Timestamp now) const; //!< Time since the copy was last proved current
    [[nodiscard]] std::optional<core::Timestamp> provedAt() const; //!< Time as of which the copy was proved current
    [[nodiscard]] std::optional<core::Timestamp>
                       lastContactAt() const; //!< Last answer of the store, or sending time of a relay's last update
    [[nodiscard]] bool hasCopy() const;       //!< Whether any copy of the store was received
    [[nodiscard]] bool usable(
        core::Timestamp now) const; //!< Whether the copy was proved current, or exists and the startup period is over
    [[nodiscard]] bool storeFailedWithin(
        core::Timestamp now,
        core::Duration  within) const; //!< Whether a store call of this node or of a relay failed so recently
    [[nodiscard]] unsigned nodeCount(core::Timestamp now) const; //!< Nodes known, this one included
    [[nodiscard]] bool     storeCallPending() const;             //!< Whether a call of the store is in progress

    ////////////////////////////////////////////////////////////
    /// \brief List the short hashes of the addresses of all nodes heard from in the last minute and of this one, sorted
    ///
    /// \return Empty while this node knows no other node although it has other seeds: more members may exist
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::vector<std::uint32_t> memberHashes(core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief List nodes heard of lately, without this one; of more than `most`, a part that differs from node to node
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::vector<NodeAddress> listPeers(std::size_t most, core::Timestamp now) const;
    [[nodiscard]] bool isMember(std::string_view ip) const; //!< Whether a node heard of lately has this IP address

    [[nodiscard]] std::size_t              followerCount() const;  //!< Nodes that receive updates from this one
    [[nodiscard]] std::vector<std::string> followedRelays() const; //!< Addresses of the relays with an open link

    ////////////////////////////////////////////////////////////
    /// \brief Count the nodes heard of in the last ten minutes, this one included; more than `nodeCount` after a partition
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::size_t rememberedNodeCount(core::Timestamp now);

private:
    struct Follower
    {
        NodeAddress     node;                 //!< The follower's address
        std::uint64_t   sentRevision{0};      //!< Revision of the copy sent last
        std::uint64_t   sentSequence{0};      //!< Value of `ItemTable::sequence` at the last update with items
        bool            needsFullCopy{true};  //!< The next update has to hold all items
        bool            supportsWhole{false}; //!< Understands `Update::sharedItems`
        core::Timestamp connectedAt{};        //!< When its hello was received
        std::uint64_t   sentNamesHash{0};     //!< Hash of the relay names sent last; 0 when none were sent
        core::Timestamp nextUpdateAt{};       //!< When the next update is sent, with or without changes
        core::Timestamp lastSentAt{};         //!< When the last update was sent
        core::Timestamp sentProvedAt{};       //!< Value of `m_provedAt` in the last update
        core::Timestamp nextNodeList{};       //!< When the list of nodes is sent next
        core::Timestamp newNodesNotBefore{};  //!< Earliest time to send the list because of many new nodes
        std::uint64_t   sentReports{0};       //!< Server reports up to this count need not be sent
        bool            limitsSent{false};    //!< The limits in force were sent
        std::size_t     sentNodeCount{0};     //!< Nodes known when the list was sent last
    };

    struct Upstream
    {
        std::string                   address;               //!< Address of the relay
        bool                          open{false};           //!< The link is open
        core::Timestamp               startedAt{};           //!< When the link was requested
        core::Timestamp               lastReceivedAt{};      //!< Last arrival of data, or when the link opened
        bool                          receivedUpdate{false}; //!< The relay has sent an update with items
        core::Timestamp               helloSentAt{};         //!< When the hello was sent
        core::Duration                roundTrip{};           //!< From the hello to the first update
        std::uint64_t                 sentReports{0};        //!< Server reports up to this count need not be sent
        std::optional<core::Duration> firstClockOffset;      //!< Clock difference plus transit time of the first update
    };

    struct KnownNode
    {
        std::string     dataCentre;    //!< Where the node runs
        std::uint32_t   capacity{0};   //!< How well it can serve others
        core::Timestamp lastHeardAt{}; //!< When any node last heard from it directly
        core::Timestamp avoidUntil{};  //!< Not ranked as a relay before this time
        unsigned        failures{0};   //!< Consecutive failures as a relay
    };

    /// \brief A link to a node outside this node's relays and followers, for one exchange of lists of nodes
    struct Exchange
    {
        LinkId          link{0};
        core::Timestamp startedAt{}; //!< When the link was requested
    };

    /// \brief A node that pushes changes to others
    struct Relay
    {
        std::string address;        //!< `IP:PORT` where it listens
        std::string dataCentre;     //!< Where it runs
        bool        watcher{false}; //!< It watches the store
    };

    void                  recordNode(const NodeAddress& node, core::Timestamp now);
    void                  manageExchange(core::Timestamp now);
    [[nodiscard]] bool    exchangesMembers() const;
    [[nodiscard]] bool    isExchange(LinkId link) const;
    void                  exchangeReceived(LinkId link, core::Timestamp now);
    void                  recordReportedNodes(std::span<const NodeAddress> nodes, core::Timestamp now);
    void                  avoidRelay(const std::string& address, core::Timestamp now, std::string_view event);
    void                  manageUpstreams(core::Timestamp now);
    void                  manageStore(core::Timestamp now);
    void                  applyUpdate(const std::string& relay, const Update& update, std::span<const Item> items);
    static core::Duration transitTime(const Update& update, Upstream& upstream, core::Timestamp now);
    void                  reportFollowers(core::Timestamp now);
    void                  sendServerReports(core::Timestamp now);
    void                  packLargeItems(Update& update, std::uint64_t sentRevision);
    void                  dropUpstream(LinkId link);
    [[nodiscard]] core::Duration upstreamTimeout(const Upstream& upstream) const;
    void                         firstCopyReceived();
    void                         updateIntroductions(core::Timestamp now);
    void                         addRelayNames(Update& update, Follower& follower, core::Timestamp now) const;
    bool                         refersToRelays(const Follower& follower, core::Timestamp now);
    [[nodiscard]] std::uint64_t  relayNamesHash(const Follower& follower) const;
    [[nodiscard]] std::shared_ptr<const std::vector<Item>> wholeCopy();
    void       addLimits(Update& update, Follower& follower, core::Timestamp now);
    void       addItems(Update& update, Follower& follower);
    void       addNodes(Update& update, Follower& follower, core::Timestamp now) const;
    PackedItem packedItem(const Item& item, const Item& base);
    [[nodiscard]] std::optional<std::vector<Item>> unpackLargeItems(const Update& update) const;
    void                                           updateFollowers(core::Timestamp now);
    void                             sendUpdate(LinkId link, Follower& follower, bool sendItems, core::Timestamp now);
    void                             startWatch(core::Timestamp now);
    void                             startEarlyRead(core::Timestamp now);
    void                             cancelOverdueEarlyRead(core::Timestamp now);
    void                             recordProof(core::Timestamp asOf, core::Timestamp now);
    void                             recordRelayWithoutCopy(core::Timestamp now);
    void                             updateRanking(core::Timestamp now);
    [[nodiscard]] std::vector<Relay> rankRelays(core::Timestamp now) const;
    [[nodiscard]] std::vector<std::string> chooseUpstreams(const std::vector<Relay>& relays) const;
    [[nodiscard]] bool                     isSeed(const std::string& address) const;
    [[nodiscard]] std::size_t              desiredRelayCount(std::size_t dataCentres, core::Timestamp now) const;
    [[nodiscard]] bool                     proved() const;
    [[nodiscard]] bool                     canServeFollowers() const;
    [[nodiscard]] bool                     receivesUpdates() const;
    [[nodiscard]] bool                     hadFreshRelay() const;
    [[nodiscard]] bool                     hasFreshRelay(core::Timestamp now) const;
    [[nodiscard]] std::vector<NodeAddress> nodeList(core::Timestamp now) const;
    [[nodiscard]] core::Timestamp          staleAt() const;
    [[nodiscard]] core::Timestamp          serverReportsDue() const; //!< When reports are to be sent to a relay
    [[nodiscard]] bool                     shouldCallStore(core::Timestamp now) const;

    enum class StoreState
    {
        Idle,    //!< No call is pending
        Reading, //!< A `ReadStore` is pending
        Watching //!< A `WatchStore` is pending
    };

    ReplicaSettings                          m_settings;              //!< Settings
    core::Random                             m_random;                //!< For jitter
    core::Timestamp                          m_startedAt;             //!< When this replica was created
    Bootstrap                                m_firstCopy;             //!< Decides how to obtain a first copy
    ItemTable                                m_table;                 //!< The copy
    std::shared_ptr<const std::vector<Item>> m_wholeCopy;             //!< All items, shared by updates that hold all
    std::uint64_t                            m_wholeCopySequence{0};  //!< `ItemTable::sequence` of `m_wholeCopy`
    ServerGossip                             m_news;                  //!< Server reports that this node passes on
    core::Timestamp                          m_nextServerReport{};    //!< When reports that may wait are sent next
    core::Timestamp                          m_nextLimitReport{};     //!< When reports that hold limits are sent next
    BootstrapRelays                          m_introductions;         //!< Relays that this node, as a seed, names
    std::uint64_t                            m_newNodes{0};           //!< Counts nodes heard of for the first time
    bool                                     m_rankingPending{false}; //!< Nodes were added since the last ranking
    std::set<std::string>                    m_fullCopyFrom; //!< Relays to ask for all items when their link opens
    std::deque<PackedItem>                   m_packedItems;  //!< Recently packed large values, newest first
    std::vector<Item>                        m_changes;      //!< Changes for `takeChanges`
    std::vector<ReplicaAction>               m_actions;      //!< Actions for `takeActions`
    std::map<std::string, KnownNode>         m_knownNodes;   //!< Other nodes by address
    MemberList                               m_members;      //!< All nodes, remembered longer than in `m_knownNodes`
    MembershipExchange                       m_membershipExchange; //!< Schedule of exchanges with other nodes
    std::optional<Exchange>                  m_exchange;           //!< Exchange in progress
    std::vector<NodeAddress>                 m_unreportedNodes;    //!< Learned from reports, not passed to relays yet
    std::map<LinkId, Follower>               m_followers;          //!< Links of nodes that receive updates
    std::map<LinkId, Upstream>               m_upstreams;          //!< Links to relays
    LinkId                                   m_nextLink{1};        //!< Next odd number; see `LinkId`
    StoreState                               m_storeState{StoreState::Idle}; //!< Pending call of the store
    bool                                     m_needsRead{true};      //!< Watching cannot continue without a reading
    std::optional<core::Timestamp>           m_earlyReadDeadline;    //!< When a pending early reading is cancelled
    core::Timestamp                          m_watchStartedAt{};     //!< When the last watch call was made
    core::Duration                           m_watchTimeout{};       //!< Longest wait of that watch call
    core::Timestamp                          m_nextFollowerReport{}; //!< When followers are reported to relays next
    core::Timestamp                          m_proveAt{};            //!< When this node asks the store for a proof
    unsigned                                 m_relaysWithoutCopy{0}; //!< Counts updates without a copy and lost links
    bool                                     m_isWatcher{false};     //!< This node ranks among the watchers
    std::vector<std::string>                 m_wantedUpstreams;      //!< Addresses of the relays to follow
    core::Timestamp                          m_nextRanking{};        //!< When the relays are ranked next
    core::Timestamp                          m_nextStoreCall{};      //!< Earliest next call of the store
    unsigned                                 m_storeFailures{0};     //!< Consecutive failed calls of the store
    core::Timestamp m_provedAt{core::Timestamp::min()};              //!< Time as of which the copy was proved current
    core::Timestamp m_relayFreshAt{core::Timestamp::min()};  //!< When a relay last sent a copy that was not stale
    core::Timestamp m_storeFailedAt{core::Timestamp::min()}; //!< Last failed store call, here or at a relay
    std::optional<core::Timestamp> m_lastContactAt;          //!< Last answer of the store, or sending time of an update
    core::Timestamp                m_now{};                  //!< Time of the last `tick`
};

} // namespace sailpath::replication
