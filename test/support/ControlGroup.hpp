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
/// \brief Size, latencies and loss of a `ControlGroup`
////////////////////////////////////////////////////////////
struct GroupSettings
{
    unsigned       nodes{16};      //!< Number of nodes
    unsigned       dataCentres{4}; //!< Number of data centres; nodes are assigned round robin
    std::uint64_t  seed{1};        //!< Seed of all random number generators
    double         loss{0};        //!< Fraction of calls between peers that are lost
    core::Duration peerDelay{std::chrono::microseconds{1500}}; //!< One-way delay between peers
    core::Duration storeLatency{std::chrono::milliseconds{3}}; //!< Duration of a call to the store
    unsigned       probeGroups{4};                             //!< Number of probe groups, as in `ControllerSettings`
};

////////////////////////////////////////////////////////////
/// \brief Change of the configuration that a node applied
////////////////////////////////////////////////////////////
struct AppliedChange
{
    core::Timestamp at{};        //!< Virtual time of the change
    unsigned        node{0};     //!< Index of the node
    std::string     workspace;   //!< Name of the workspace
    std::uint64_t   revision{0}; //!< Revision of the document
    unsigned        life{0};     //!< Starts of the node up to the change
};

////////////////////////////////////////////////////////////
/// \brief Probe that a node sent
////////////////////////////////////////////////////////////
struct ProbeSent
{
    core::Timestamp at{};      //!< Virtual time of the probe
    unsigned        node{0};   //!< Index of the node
    std::string     workspace; //!< Name of the workspace
    double          cost{0};   //!< Server time that the probe uses, milliseconds
};

////////////////////////////////////////////////////////////
/// \brief Controllers of many nodes in one process under virtual time
///
/// Messages between peers and with the store are delayed calls. The store is
/// a map with revisions and leases.
////////////////////////////////////////////////////////////
class ControlGroup
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Create a group and start all nodes
    ////////////////////////////////////////////////////////////
    explicit ControlGroup(GroupSettings settings);

    void run(core::Duration length); //!< Run the group for a period of virtual time
    bool runUntil(const std::function<bool()>& done,
                  core::Duration               longest); //!< Run until true, at most for `longest`

    std::uint64_t put(const std::string& workspace, const std::string& text); //!< Write a document to the store
    std::uint64_t remove(const std::string& workspace); //!< Write the deletion of a workspace to the store
    void          serverDraining(unsigned node);        //!< Report to a node that a server is draining
    void          restoreStore(std::uint64_t revision); //!< Restore the store to an older revision, as from a backup

    void setOutage(bool outage);                 //!< Make the store unavailable or available
    void setVmList(std::vector<unsigned> nodes); //!< Set the platform's list of VMs
    void stop(unsigned node);                    //!< Stop a node without notice
    void start(unsigned node);                   //!< Start a node without peers or configuration
    void freeze(unsigned node);                  //!< Suspend a node; calls to the node are queued
    void thaw(unsigned node);                    //!< Resume a node and run the queued calls
    void isolateDataCentre(unsigned dataCentre,
                           bool     isolated); //!< Isolate or reconnect a data centre

    [[nodiscard]] bool            appliedEverywhere(const std::string& workspace,
                                                    std::uint64_t      revision) const; //!< Compare revisions
    [[nodiscard]] bool            allAlive(unsigned node) const; //!< Check that a node sees all running nodes as alive
    [[nodiscard]] bool            seesStatus(unsigned node, unsigned other,
                                             membership::MemberStatus status) const; //!< Check a node's member list
    [[nodiscard]] unsigned        relays() const; //!< Number of nodes that watch the store
    [[nodiscard]] core::Timestamp now() const;    //!< Current virtual time

    std::vector<AppliedChange> history; //!< All applied changes, in order
    std::vector<ProbeSent>     probes;  //!< All probes sent, in order
    std::map<unsigned, core::Timestamp>
                  drainingReportedAt; //!< Time at which each node learned that a server is draining
    std::uint64_t storeCalls{0};      //!< Calls to the store; a watch counts as one call
    std::uint64_t storeReads{0};      //!< Calls to the store that read the configuration
    std::uint64_t exchanges{0};       //!< Digest exchanges started
    std::uint64_t peerBytes{0};       //!< Size of all digests in both directions, bytes

    ////////////////////////////////////////////////////////////
    /// \brief Computes the encoded size of a digest in bytes; `peerBytes` stays 0 without this function
    ////////////////////////////////////////////////////////////
    std::function<std::size_t(const node::Digest&)> digestSize;

private:
    struct Node
    {
        std::unique_ptr<node::Controller>    controller;    //!< Controller of the node; null while the node is stopped
        unsigned                             life{0};       //!< Number of starts
        bool                                 frozen{false}; //!< The node is suspended
        std::vector<std::function<void()>>   queued;        //!< Calls received while frozen
        std::uint64_t                        watch{0};      //!< Number of the active watch; 0 for none
        std::map<std::string, std::uint64_t> appliedRevisions; //!< Applied revision by workspace
    };

    struct Lease
    {
        core::Timestamp expiresAt{}; //!< End of the lease
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

    GroupSettings                          m_settings;      //!< Size, latencies and loss
    replay::EventQueue                     m_events;        //!< Events in virtual time
    core::Random                           m_random;        //!< Source of lost calls and tick phases
    std::vector<Node>                      m_nodes;         //!< Nodes by index
    std::map<std::string, state::Document> m_documents;     //!< Documents in the store, by workspace
    std::uint64_t                          m_revision{1};   //!< Current revision of the store
    std::map<std::int64_t, Lease>          m_leases;        //!< Leases in the store, by id
    std::map<unsigned, std::int64_t>       m_groupKeys;     //!< Lease of each probe group's key
    std::int64_t                           m_nextLease{1};  //!< Id of the next lease
    bool                                   m_outage{false}; //!< The store is unavailable
    std::vector<unsigned>                  m_vmList;        //!< Nodes in the platform's list of VMs
    std::map<unsigned, bool>               m_isolated;      //!< Whether a data centre is isolated, by number
    std::uint64_t                          m_nextWatch{1};  //!< Number of the next watch
};

} // namespace sailpath::support
