#pragma once

#include <sailpath/core/Random.hpp>
#include <sailpath/replication/Replica.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace sailpath::support
{
////////////////////////////////////////////////////////////
/// \brief Many replicas, a network and a store in virtual time
////////////////////////////////////////////////////////////
class ReplicaGroup
{
public:
    enum class StoreMode
    {
        Well,   //!< Answers
        Refuse, //!< Answers 503
        Silent  //!< Says nothing
    };

    /// \brief What a VM is given
    struct Machine
    {
        double        linkBytesPerMs{2500}; //!< 20 Mbit/s
        double        cores{0.1};           //!< Share of a processor
        std::uint32_t capacity{1};          //!< That it tells of itself
    };

    ReplicaGroup(std::size_t nodes, std::uint64_t seed, std::size_t dataCentres = 3);

    ////////////////////////////////////////////////////////////
    /// \brief Nodes whose links and processors take time, and a store behind a link of its own; none runs yet
    ////////////////////////////////////////////////////////////
    ReplicaGroup(std::vector<Machine> machines, double storeBytesPerMs, std::uint64_t seed, std::size_t dataCentres);

    void start(std::size_t node);                               //!< Start or restart a node; its copy is gone
    void kill(std::size_t node);                                //!< End a node, its links reset
    void cut(std::size_t node, bool fromStore, bool fromPeers); //!< Silence towards the store, the other nodes
    void heal(std::size_t node);                                //!< End its cuts

    void write(const std::string& key, const std::string& value); //!< Change the store
    void remove(const std::string& key);                          //!< Remove a key from the store
    void compact();                                               //!< The store forgets its history
    void setStore(StoreMode mode);                                //!< For all nodes
    void turnAway(std::size_t node, StoreMode mode);              //!< For one node
    void serverFailed(std::size_t node, std::uint32_t server);    //!< A node sees an instance fail
    void serverEnded(std::size_t node, std::uint32_t server);     //!< A node sees an instance end under a request
    void pass(core::Duration time);                               //!< Let time pass

    void slowStore(core::Duration most); //!< Answers of the store take up to so long on their way back
    void slowLinks(core::Duration least, core::Duration most); //!< What nodes tell each other takes so long, in order
    void slowSender(std::size_t node);                         //!< From now on only such nodes' messages are slow
    void deafen(core::Duration time, bool jumps); //!< Watches say nothing new; or that it is the latest revision
    void readInPages(core::Duration apart);       //!< Readings are of two moments so far apart

    [[nodiscard]] bool                        running(std::size_t node) const;
    [[nodiscard]] const replication::Replica& replica(std::size_t node) const;
    [[nodiscard]] std::string   valueAt(std::size_t node, const std::string& key) const; //!< Empty when there is none
    [[nodiscard]] std::string   value(const std::string& key) const;                     //!< In the store
    [[nodiscard]] std::size_t   heardOfFailures(std::size_t   node,
                                                std::uint32_t server) const;               //!< Reports that reached it
    [[nodiscard]] std::size_t   heardOfEnds(std::size_t node, std::uint32_t server) const; //!< Reports that reached it
    [[nodiscard]] std::uint64_t calls() const;                                             //!< Of the store, by all
    [[nodiscard]] std::uint64_t callsOf(std::size_t node) const; //!< Of the store, in all lives
    [[nodiscard]] std::uint64_t oldReads() const;                //!< Of these, cheap readings that may be old
    [[nodiscard]] std::size_t   watchers() const;                //!< Nodes that call the store
    [[nodiscard]] std::uint64_t itemsAcross() const;             //!< Items sent between data centres
    [[nodiscard]] bool          wentBack() const;   //!< Some node took a lower revision of a key in one life
    [[nodiscard]] std::string   incomplete() const; //!< First copy that lacked a change before its `at`; else empty
    [[nodiscard]] core::Timestamp now() const;
    [[nodiscard]] core::Duration  overstated() const; //!< Most by which a copy said that it is fresher than it was
    [[nodiscard]] std::vector<core::Duration> startToUsable() const; //!< Of the nodes that run and got so far, sorted

private:
    /// \brief What carries or works on one thing after the other
    struct Line
    {
        double          perMs{0}; //!< Bytes; 0: it takes no time
        core::Timestamp free{};   //!< It is taken until then
    };

    struct Node
    {
        std::unique_ptr<replication::Replica>   replica;                //!< Null when it does not run
        std::uint64_t                           life{0};                //!< Counts starts
        StoreMode                               store{StoreMode::Well}; //!< How the store treats it
        bool                                    cutStore{false};        //!< No path to the store
        bool                                    cutPeers{false};        //!< No path to other nodes
        std::map<std::string, std::uint64_t>    seen;                   //!< Revision by key in this life
        core::Timestamp                         tickAt{};               //!< Next tick
        std::pair<std::uint64_t, std::uint64_t> checked{0, 0}; //!< Revision and changes of the copy checked last
        std::map<replication::LinkId, std::pair<std::size_t, replication::LinkId>> ends; //!< Far end of each link
        Machine       machine;  //!< What it is given; counts only where the store's link is narrow
        Line          up;       //!< Of its link
        Line          down;     //!< Of its link
        std::uint64_t calls{0}; //!< Of the store
        std::map<std::uint32_t, std::size_t> failures;   //!< Reports heard, by instance
        std::map<std::uint32_t, std::size_t> serverEnds; //!< Reports heard of ends, by instance
        core::Timestamp                      busy{};     //!< Its processor is taken until then
        core::Timestamp                      startedAt{};
        std::optional<core::Timestamp>       usableAt;   //!< In this life
        std::uint64_t                        givenUp{0}; //!< Calls of the store that it does not wait for any more
        core::Duration                       reading{};  //!< Time that its last reading takes on the store\'s link
        std::shared_ptr<const std::vector<replication::Item>> packed; //!< Whole copy that it packed last
    };

    struct Watch
    {
        std::size_t     node;
        std::uint64_t   life;
        std::uint64_t   after;
        core::Timestamp until;
    };

    /// \brief The store as it stood
    struct Past
    {
        core::Timestamp                          since;
        std::uint64_t                            revision;
        std::map<std::string, replication::Item> items;
    };

    void               remember();
    void               note(const replication::Item& change);
    void               checkComplete(std::size_t node);
    void               checkFresh(std::size_t node);
    void               readPages(std::size_t node, std::uint64_t life);
    core::Duration     storeBack();
    [[nodiscard]] Past asOf(core::Timestamp time) const;
    void               act(std::size_t node);
    void               perform(std::size_t node, const replication::ReplicaAction& action);
    void               at(core::Timestamp time, std::function<void()> work);
    void               storeCall(std::size_t node, std::function<void()> work);
    void               answerWatches();
    core::Timestamp    carry(Line& from, Line& to, double bytes);
    void               work(std::size_t node, double coreMs);
    void deliver(std::size_t node, std::uint64_t life, core::Timestamp at, double coreMs, std::function<void()> what);
    core::Timestamp    sendTimed(std::size_t from, std::size_t to, const replication::SendUpdate* update, double& cost);
    [[nodiscard]] bool timed() const;
    [[nodiscard]] double storeBytes() const;
    void                 breakLink(std::size_t node, replication::LinkId link);
    void                 toNode(std::size_t node, std::uint64_t life, const std::function<void()>& work);
    [[nodiscard]] bool   reach(std::size_t from, std::size_t to) const;
    [[nodiscard]] std::vector<replication::Item> since(std::uint64_t revision) const;
    static std::string                           addressOf(std::size_t node);

    core::Timestamp                                       m_now{std::chrono::hours{1}};
    core::Random                                          m_random;
    std::size_t                                           m_dataCentres;
    Line                                                  m_storeLink;
    std::uint64_t                                         m_seed;
    std::vector<Node>                                     m_nodes;
    std::multimap<core::Timestamp, std::function<void()>> m_queue;
    std::map<std::string, replication::Item>              m_store;
    std::uint64_t                                         m_revision{1};
    std::uint64_t                                         m_compacted{0};
    StoreMode                                             m_mode{StoreMode::Well};
    std::vector<Watch>                                    m_watches;
    std::uint64_t                                         m_calls{0};
    std::uint64_t                                         m_oldReads{0};
    std::deque<Past>                                      m_past;
    std::uint64_t                                         m_itemsAcross{0};
    replication::LinkId                                   m_nextAccepted{2};
    bool                                                  m_wentBack{false};
    std::map<std::string, std::vector<replication::Item>> m_history;    //!< All changes ever, by key
    std::string                                           m_incomplete; //!< First copy that was not complete
    std::map<std::uint64_t, core::Timestamp>              m_changedAt;  //!< Time of each revision
    core::Duration                                        m_overstated{};
    core::Duration                                        m_storeBack{}; //!< Longest way of an answer of the store
    core::Duration                                        m_leastWay{};
    core::Duration                                        m_linkWay{}; //!< Longest way between nodes; 0: as usual
    core::Duration                                        m_apart{};   //!< Between the pages of a reading
    std::set<std::size_t>                                 m_slowSenders;
    core::Timestamp                                       m_deafUntil{};
    bool                                                  m_deafJumps{false};
    std::map<std::pair<std::size_t, replication::LinkId>, core::Timestamp>
        m_lastOn; //!< Arrival of the last message to an end
};

} // namespace sailpath::support
