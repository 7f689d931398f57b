#pragma once

#include <sailpath/core/Random.hpp>
#include <sailpath/core/Time.hpp>
#include <sailpath/replication/Bootstrap.hpp>
#include <sailpath/replication/BootstrapRelays.hpp>
#include <sailpath/replication/ItemSource.hpp>
#include <sailpath/replication/ItemTable.hpp>
#include <sailpath/replication/MemberList.hpp>
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
#include <variant>
#include <vector>

namespace sailpath::replication
{
////////////////////////////////////////////////////////////
/// \brief Constants of a node's copy of the store
////////////////////////////////////////////////////////////
struct ReplicaSettings
{
    NodeAddress              self;                                         //!< This node
    std::vector<std::string> seeds;                                        //!< `IP:PORT` of nodes to begin with
    core::Duration           watchWait{std::chrono::milliseconds{1000}};   //!< Longest wait of one watch call
    core::Duration           staleAfter{std::chrono::milliseconds{1400}};  //!< Age at which the store is asked itself
    core::Duration           beat{std::chrono::milliseconds{350}};         //!< Between updates without news
    core::Duration           linkSilence{std::chrono::milliseconds{1100}}; //!< Without an update, a relay is given up
    core::Duration           avoidance{std::chrono::seconds{3}};           //!< A relay that failed is left alone
    core::Duration           bootWait{std::chrono::milliseconds{600}};     //!< Of a start: only seeds count as relays
    core::Duration           connectPatience{std::chrono::milliseconds{700}}; //!< For a link to come up
    core::Duration           firstBackoff{std::chrono::milliseconds{250}};    //!< After one failed call of the store
    core::Duration           nodeLife{std::chrono::seconds{20}};              //!< A node not heard of is forgotten
    core::Duration           countLife{std::chrono::seconds{25}};             //!< A node counts for shared budgets
    unsigned                 watchers{2};                                     //!< Relays that watch the store for all
    unsigned                 nodesPerRelay{75};                               //!< One more relay for each so many nodes
    unsigned                 largeFleet{30};         //!< From so many nodes on, data centres have relays of their own
    unsigned                 relaysPerDataCentre{2}; //!< Of a large fleet
    unsigned                 upstreams{2};           //!< Relays that a node follows
    core::Duration           watchPause{std::chrono::milliseconds{80}}; //!< After news, so that more comes at once
    core::Duration           proofWait{
        std::chrono::milliseconds{40}};         //!< From the start, for relays to prove a first, old reading
    core::Duration gather{std::chrono::milliseconds{25}}; //!< Changes this close together are told at once
    std::uint64_t  seed{1};                               //!< Of the random choices
};

using LinkId = std::uint64_t; //!< Number of a link, given by the replica when it opens one, by the program otherwise

struct ReadStore //!< Read all items; answer with `storeRead` or `storeFailed`
{
    ReadMode how{ReadMode::Latest}; //!< What will do
};
struct WatchStore //!< Ask for changes; answer with `storeChanged`, `historyLost` or `storeFailed`
{
    std::uint64_t  after{0}; //!< Revision that is known
    core::Duration wait{};   //!< Longest wait for a change
};
struct GiveUpStore //!< The call under way is not to be answered any more
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
struct Note //!< A change of what the node believes, for the log
{
    std::string           event;
    std::string           subject;
    std::optional<double> value{0}; //!< Null: an age of what never was
};

using ReplicaAction =
    std::variant<ReadStore, WatchStore, GiveUpStore, OpenLink, CloseLink, SendHello, SendUpdate, SendReport, Note>;

////////////////////////////////////////////////////////////
/// \brief One node's copy of the store, kept by few calls for the whole fleet
///
/// The nodes that rank first among those known watch the store and push
/// what changes to the others; in a large fleet relays in each data centre
/// hear from them and push to the nodes beside them. Each update says how old
/// its picture is. A node whose picture grows old asks another relay, then
/// the store itself.
/// Does no input or output, starts no threads and reads no clock.
////////////////////////////////////////////////////////////
class Replica
{
public:
    Replica(ReplicaSettings settings, core::Timestamp now);

    void tick(core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Hear the answer to `ReadStore`
    ///
    /// \param asOf The items are a snapshot, the store's since then at the latest; null when they may be old or
    ///             of several moments
    /// \param upTo Unless they are a snapshot: revision that none of them is newer than, if known
    ////////////////////////////////////////////////////////////
    void storeRead(std::span<const Item> items, std::uint64_t at, std::optional<core::Timestamp> asOf,
                   core::Timestamp now, std::uint64_t upTo = std::numeric_limits<std::uint64_t>::max());
    void storeChanged(std::span<const Item> items, std::uint64_t at, core::Timestamp now);
    void historyLost(core::Timestamp now);
    void storeFailed(core::Timestamp now);

    void linkOpened(LinkId link, core::Timestamp now);                           //!< An `OpenLink` succeeded
    void linkAlive(LinkId link, core::Timestamp now);                            //!< A part of an update came
    void linkClosed(LinkId link, core::Timestamp now);                           //!< A link ended or did not come up
    void helloReceived(LinkId link, const Hello& hello, core::Timestamp now);    //!< A node wants updates
    void updateReceived(LinkId link, const Update& update, core::Timestamp now); //!< A relay sent one
    void reportReceived(LinkId link, const Report& report, core::Timestamp now); //!< A relay told of its followers
    void serverFailed(std::uint32_t server, core::Timestamp now); //!< This node saw an instance fail; hash of its id

    void serverEnded(const EndRecord& record, core::Timestamp at, core::Timestamp now); //!< This node saw it end
    void requestServed(const core::ContentHash& content, core::Timestamp now); //!< It had been at such a server
    void serverLimited(const LimitRecord& record, core::Timestamp at,
                       core::Timestamp now); //!< Heard or sent by this node

    [[nodiscard]] std::vector<ReplicaAction> takeActions();   //!< What is to be done
    [[nodiscard]] std::vector<Item>          takeChanges();   //!< Items that changed here since the last call
    [[nodiscard]] std::vector<ServerReport>  takeNews();      //!< What other nodes saw of servers
    [[nodiscard]] core::Timestamp            nextDue() const; //!< When `tick` is to be called next

    [[nodiscard]] const ItemTable& table() const;                  //!< The copy
    [[nodiscard]] core::Duration   age(core::Timestamp now) const; //!< Time since it was known to be the store's
    [[nodiscard]] std::optional<core::Timestamp> provedAt() const; //!< When it was last known to be the store's
    [[nodiscard]] std::optional<core::Timestamp> heardAt() const;  //!< A relay or the store was heard then
    [[nodiscard]] bool                           known() const;    //!< There is a copy
    [[nodiscard]] bool     usable(core::Timestamp now) const;      //!< It was proved, or nobody can prove it
    [[nodiscard]] bool     storeIll(core::Timestamp now,
                                    core::Duration  within) const; //!< The store failed somebody of late
    [[nodiscard]] unsigned nodes(core::Timestamp now) const;      //!< Nodes known of, this one included
    [[nodiscard]] bool     watching() const;                      //!< This node calls the store

    ////////////////////////////////////////////////////////////
    /// \brief Short hashes of the addresses of all nodes heard of in the last minute, this one included, in order
    ///
    /// \return Empty while none of the seeds was heard of: then there may be others
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::vector<std::uint32_t> members(core::Timestamp now);

    [[nodiscard]] std::size_t followers() const; //!< Nodes that get updates from this one

private:
    struct Follower
    {
        NodeAddress     node;              //!< Who it is
        std::uint64_t   sentAt{0};         //!< Revision sent
        std::uint64_t   sentSequence{0};   //!< Changes of the copy sent
        bool            wantsAll{true};    //!< Needs the whole picture
        bool            packs{false};      //!< Understands `Update::sharedItems`
        core::Timestamp since{};           //!< Came then
        std::uint64_t   namesTold{0};      //!< Hash of the relays that were named to it
        core::Timestamp nextBeat{};        //!< Next update without news
        core::Timestamp fedAt{};           //!< Last update
        core::Timestamp fedAsOf{};         //!< What it told was the store's then
        core::Timestamp nextNodes{};       //!< Next telling of the nodes
        core::Timestamp newNodesAt{};      //!< Not before, when there are many new ones
        std::uint64_t   newsTold{0};       //!< Reports of servers it was told or had no need of
        bool            limitsTold{false}; //!< It was told which servers are limited
        std::size_t     nodesTold{0};      //!< Nodes at the last telling
    };

    struct Upstream
    {
        std::string                   address;     //!< Of the relay
        bool                          open{false}; //!< The link is up
        core::Timestamp               since{};     //!< Start
        core::Timestamp               heard{};     //!< Last update
        bool                          fed{false};  //!< Has sent an update
        core::Timestamp               helloAt{};   //!< When it was greeted
        core::Duration                roundTrip{}; //!< From then to its first update
        std::uint64_t                 newsTold{0}; //!< Reports of servers it was told
        std::optional<core::Duration> firstOffset; //!< Of the clocks, the first update's way included
    };

    struct Known
    {
        std::string     dataCentre;   //!< Where it runs
        std::uint32_t   capacity{0};  //!< How well it can serve others
        core::Timestamp heard{};      //!< At first hand, by anybody
        core::Timestamp avoidUntil{}; //!< Not to be used as a relay
        unsigned        failures{0};  //!< In a row
    };

    /// \brief A node that pushes what changes to others
    struct Relay
    {
        std::string address;        //!< Where it listens
        std::string dataCentre;     //!< Where it runs
        bool        watcher{false}; //!< It watches the store
    };

    void                  hear(const NodeAddress& node, core::Timestamp now);
    void                  avoid(const std::string& address, core::Timestamp now, std::string_view why);
    void                  manageUpstreams(core::Timestamp now);
    void                  manageStore(core::Timestamp now);
    void                  takeUpdate(const std::string& relay, const Update& update, std::span<const Item> items);
    static core::Duration wayOf(const Update& update, Upstream& upstream, core::Timestamp now);
    void                  report(core::Timestamp now);
    void                  reportNews(core::Timestamp now);
    void                  packLarge(Update& update, std::uint64_t sentAt);
    void                  dropUpstream(LinkId link);
    [[nodiscard]] core::Duration patienceWith(const Upstream& upstream) const;
    void                         firstCopyTaken();
    void                         introduce(core::Timestamp now);
    void                         nameRelays(Update& update, Follower& follower, core::Timestamp now) const;
    bool                         refers(const Follower& follower, core::Timestamp now);
    [[nodiscard]] std::uint64_t  namesHash(const Follower& follower) const;
    [[nodiscard]] std::shared_ptr<const std::vector<Item>> wholeCopy();
    void       tellLimits(Update& update, Follower& follower, core::Timestamp now);
    void       tellItems(Update& update, Follower& follower);
    void       tellNodes(Update& update, Follower& follower, core::Timestamp now) const;
    PackedItem packed(const Item& item, const Item& base);
    [[nodiscard]] std::optional<std::vector<Item>> unpackLarge(const Update& update) const;
    void                                           feedFollowers(core::Timestamp now);
    void                                   feed(LinkId link, Follower& follower, bool tells, core::Timestamp now);
    void                                   startWatch(core::Timestamp now);
    void                                   readEarly(core::Timestamp now);
    void                                   giveUpEarlyReading(core::Timestamp now);
    void                                   noteFresh(core::Timestamp asOf, core::Timestamp now);
    void                                   noteLacking(core::Timestamp now);
    void                                   rank(core::Timestamp now);
    [[nodiscard]] std::vector<Relay>       rankRelays(core::Timestamp now) const;
    [[nodiscard]] std::vector<std::string> chooseUpstreams(const std::vector<Relay>& relays) const;
    [[nodiscard]] bool                     isSeed(const std::string& address) const;
    [[nodiscard]] std::size_t              relaysWanted(std::size_t dataCentres, core::Timestamp now) const;
    [[nodiscard]] bool                     proved() const;
    [[nodiscard]] bool                     mayTell() const;
    [[nodiscard]] bool                     hearsRelays() const;
    [[nodiscard]] bool                     heardRelay() const;
    [[nodiscard]] bool                     fedSteadily(core::Timestamp now) const;
    [[nodiscard]] std::vector<NodeAddress> nodeList(core::Timestamp now) const;
    [[nodiscard]] core::Timestamp          staleAt() const;
    [[nodiscard]] core::Timestamp          newsDue() const; //!< When news are to be told to a relay
    [[nodiscard]] bool                     shouldWatch(core::Timestamp now) const;

    enum class StoreState
    {
        Idle,    //!< No call under way
        Reading, //!< `ReadStore` is under way
        Watching //!< `WatchStore` is under way
    };

    ReplicaSettings                          m_settings;                //!< Constants
    core::Random                             m_random;                  //!< For jitter
    core::Timestamp                          m_born;                    //!< Start
    Bootstrap                                m_first;                   //!< How a copy is come by
    ItemTable                                m_table;                   //!< The copy
    std::shared_ptr<const std::vector<Item>> m_whole;                   //!< All items, for followers that start
    std::uint64_t                            m_wholeSequence{0};        //!< Changes of the copy when they were listed
    ServerGossip                             m_news;                    //!< On their way through this node
    core::Timestamp                          m_nextNews{};              //!< Next telling of them to a relay
    core::Timestamp                          m_newsSoon{};              //!< And of those that wait only a moment
    BootstrapRelays                          m_introductions;           //!< Whom a seed names
    std::uint64_t                            m_nodeChanges{0};          //!< Nodes heard of for the first time
    bool                                     m_rankSoon{false};         //!< Nodes are new since the last ranking
    std::set<std::string>                    m_wholeFrom;               //!< Relays that are to begin with all items
    std::deque<PackedItem>                   m_packed;                  //!< Large values packed of late
    std::vector<Item>                        m_changes;                 //!< Not taken yet
    std::vector<ReplicaAction>               m_actions;                 //!< Not taken yet
    std::map<std::string, Known>             m_known;                   //!< Other nodes by address
    MemberList                               m_members;                 //!< This node and others, for longer
    std::map<LinkId, Follower>               m_followers;               //!< Links that want updates
    std::map<LinkId, Upstream>               m_upstreams;               //!< Links to relays
    LinkId                                   m_nextLink{1};             //!< Odd numbers are this side's
    StoreState                               m_store{StoreState::Idle}; //!< Call under way
    bool                                     m_needRead{true};          //!< The history is not usable
    std::optional<core::Timestamp>           m_earlyUntil;              //!< An early reading is given up then
    core::Timestamp                          m_watchedAt{};             //!< When the store was asked for changes
    core::Duration                           m_watchedFor{};            //!< How long it was to wait for them
    core::Timestamp                          m_nextReport{};            //!< Next telling of the followers
    core::Timestamp                          m_proveAt{};               //!< When an old first reading is proved here
    unsigned                                 m_relaysLacking{0};        //!< Times that a relay could not be heard
    bool                                     m_watchRole{false};        //!< Ranks among the watchers
    std::vector<std::string>                 m_wanted;                  //!< Relays to follow
    core::Timestamp                          m_rankAt{};                //!< Next ranking of the relays
    core::Timestamp                          m_nextStore{};             //!< Next call, after failures
    unsigned                                 m_storeFailures{0};        //!< In a row
    core::Timestamp                          m_asOf{core::Timestamp::min()}; //!< The copy was the store's then
    core::Timestamp                m_relayFresh{core::Timestamp::min()};     //!< A relay last sent a fresh picture
    core::Timestamp                m_ill{core::Timestamp::min()};            //!< The store last failed somebody
    std::optional<core::Timestamp> m_heardAt;                                //!< A relay or the store was heard then
    core::Timestamp                m_now{};                                  //!< Last time given
};

} // namespace sailpath::replication
