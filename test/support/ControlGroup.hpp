#pragma once

#include <sailpath/node/Controller.hpp>
#include <sailpath/replay/EventQueue.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sailpath::support
{
////////////////////////////////////////////////////////////
/// \brief Size and conditions of a group
////////////////////////////////////////////////////////////
struct GroupSettings
{
    unsigned       nodes{16};                                  //!< VMs
    unsigned       dataCentres{4};                             //!< Data centres, filled in turn
    std::uint64_t  seed{1};                                    //!< Seed of everything random
    double         loss{0};                                    //!< Share of calls between peers that are lost
    core::Duration peerDelay{std::chrono::microseconds{1500}}; //!< Between peers
    core::Duration storeLatency{std::chrono::milliseconds{3}}; //!< Of a call to the store
    unsigned       probeGroups{4};                             //!< As in `ControllerSettings`
};

////////////////////////////////////////////////////////////
/// \brief A change that came into force on a node
////////////////////////////////////////////////////////////
struct AppliedChange
{
    core::Timestamp at{};        //!< When
    unsigned        node{0};     //!< Where
    std::string     workspace;   //!< What
    std::uint64_t   revision{0}; //!< Which version
    unsigned        life{0};     //!< Restarts of the node before it
};

////////////////////////////////////////////////////////////
/// \brief A probe that a node sent
////////////////////////////////////////////////////////////
struct ProbeSent
{
    core::Timestamp at{};      //!< When
    unsigned        node{0};   //!< Who
    std::string     workspace; //!< Whose server
    double          cost{0};   //!< Server-milliseconds
};

////////////////////////////////////////////////////////////
/// \brief Control logic of many nodes in one process under virtual time
///
/// Messages between peers and with the store are calls with a delay; the
/// store is a map with revisions and leases.
////////////////////////////////////////////////////////////
class ControlGroup
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Start all nodes
    ////////////////////////////////////////////////////////////
    explicit ControlGroup(GroupSettings settings);

    void run(core::Duration length);                                          //!< Let time pass
    bool runUntil(const std::function<bool()>& done, core::Duration longest); //!< Let time pass until something holds

    std::uint64_t put(const std::string& workspace, const std::string& text); //!< Write a document to the store
    std::uint64_t remove(const std::string& workspace);                       //!< Write a tombstone
    void          serverLeaving(unsigned node);         //!< A node's dispatcher hears a server say that it is leaving
    void          restoreStore(std::uint64_t revision); //!< The store falls back to an older state, as from a backup

    void setOutage(bool outage);                                //!< The store answers nothing
    void setVmList(std::vector<unsigned> nodes);                //!< Replace the platform's list
    void stop(unsigned node);                                   //!< Kill a node
    void start(unsigned node);                                  //!< Start it anew, knowing nothing
    void freeze(unsigned node);                                 //!< It does nothing; what reaches it waits
    void thaw(unsigned node);                                   //!< It goes on, with everything that waited
    void isolateDataCentre(unsigned dataCentre, bool isolated); //!< Its nodes reach only one another

    [[nodiscard]] bool            appliedEverywhere(const std::string& workspace,
                                                    std::uint64_t      revision) const; //!< In force on all that run
    [[nodiscard]] bool            allAlive(unsigned node) const; //!< A node holds all that run for alive
    [[nodiscard]] bool            seesStatus(unsigned node, unsigned other,
                                             membership::MemberStatus status) const; //!< What one believes
    [[nodiscard]] unsigned        relays() const;                                    //!< Nodes that watch the store
    [[nodiscard]] core::Timestamp now() const;                                       //!< Virtual time

    std::vector<AppliedChange>          history;         //!< Everything that came into force
    std::vector<ProbeSent>              probes;          //!< Every probe
    std::map<unsigned, core::Timestamp> drainingHeardAt; //!< When each node heard that a server leaves
    std::uint64_t                       storeCalls{0};   //!< Calls to the store; a watch counts once
    std::uint64_t                       storeReads{0};   //!< Of these, reads of the configuration
    std::uint64_t                       exchanges{0};    //!< Exchanges begun
    std::uint64_t                       peerBytes{0};    //!< Bytes of digests, both ways

    ////////////////////////////////////////////////////////////
    /// \brief Measures the bytes of a digest; none are counted without it
    ////////////////////////////////////////////////////////////
    std::function<std::size_t(const node::Digest&)> digestSize;

private:
    struct Node
    {
        std::unique_ptr<node::Controller>    controller;       //!< Null when it is stopped
        unsigned                             life{0};          //!< Starts so far
        bool                                 frozen{false};    //!< Does nothing
        std::vector<std::function<void()>>   queued;           //!< What reaches it while frozen
        std::uint64_t                        watch{0};         //!< Watch under way; 0 for none
        std::map<std::string, std::uint64_t> appliedRevisions; //!< Revision in force by workspace
    };

    struct Lease
    {
        core::Timestamp expiresAt{}; //!< End
    };

    void                   deliver(unsigned node, core::Duration delay,
                                   std::function<void(node::Controller&, node::ControlActions&)> call);
    void                   perform(unsigned node, node::ControlActions& actions);
    void                   tick(unsigned node, unsigned life);
    void                   handle(unsigned node, const node::ExchangeWith& action);
    void                   handle(unsigned node, const node::PullDocuments& action);
    void                   handle(unsigned node, const node::ReadStore& action);
    void                   handle(unsigned node, const node::WatchStore& action);
    void                   handle(unsigned node, const node::StopWatch& action);
    void                   handle(unsigned node, const node::ListMembers& action);
    void                   handle(unsigned node, const node::AcquireLease& action);
    void                   handle(unsigned node, const node::RenewLease& action);
    void                   handle(unsigned node, const node::ReleaseLease& action);
    void                   handle(unsigned node, const node::SendProbe& action);
    void                   handle(unsigned node, const node::ApplyWorkspace& action);
    void                   handle(unsigned node, const node::RemoveWorkspace& action);
    void                   handle(unsigned node, const node::RejectedDocument& action);
    void                   handle(unsigned node, const node::ApplyServerReport& action);
    void                   notifyWatchers(const state::Document& document);
    void                   expireLeases();
    [[nodiscard]] bool     reachable(unsigned from, unsigned to);
    [[nodiscard]] unsigned indexOf(const std::string& address) const;

    GroupSettings                          m_settings;      //!< Size and conditions
    replay::EventQueue                     m_events;        //!< Virtual time
    core::Random                           m_random;        //!< For losses
    std::vector<Node>                      m_nodes;         //!< The nodes
    std::map<std::string, state::Document> m_documents;     //!< The store's documents
    std::uint64_t                          m_revision{1};   //!< The store's revision
    std::map<std::int64_t, Lease>          m_leases;        //!< The store's leases
    std::map<unsigned, std::int64_t>       m_groupKeys;     //!< Lease of each prober key
    std::int64_t                           m_nextLease{1};  //!< Next lease id
    bool                                   m_outage{false}; //!< The store answers nothing
    std::vector<unsigned>                  m_vmList;        //!< The platform's list
    std::map<unsigned, bool>               m_isolated;      //!< Data centres that are cut off
    std::uint64_t                          m_nextWatch{1};  //!< Next watch number
};

} // namespace sailpath::support
