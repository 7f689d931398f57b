#pragma once

#include <sailpath/adapters/http/BackendClient.hpp>
#include <sailpath/adapters/peers/PeerEvents.hpp>
#include <sailpath/adapters/peers/PeerLoop.hpp>
#include <sailpath/control/ProbingLease.hpp>
#include <sailpath/control/TaskThread.hpp>
#include <sailpath/entry/SharedDispatcher.hpp>
#include <sailpath/node/Controller.hpp>
#include <sailpath/ports/EventLog.hpp>
#include <sailpath/ports/Store.hpp>
#include <sailpath/ports/VmList.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>

namespace sailpath::control
{
////////////////////////////////////////////////////////////
/// \brief Interfaces that the control thread uses; all of them must outlive the thread
////////////////////////////////////////////////////////////
struct ControlPorts
{
    ports::Store&                  store;      //!< Connection for single calls; used by the store thread only
    ports::Store&                  watcher;    //!< Connection for the watch; used by the watch thread only
    ports::VmList&                 vms;        //!< Source of the list of VMs
    adapters::http::BackendClient& client;     //!< HTTP client for probes
    entry::SharedDispatcher&       dispatcher; //!< Receives configuration and load reports
    ports::EventLog&               log;        //!< Log of events
};

////////////////////////////////////////////////////////////
/// \brief State of the control logic, as shown on the health page
////////////////////////////////////////////////////////////
struct ControlStatus
{
    std::uint64_t                   revision{0};   //!< Store revision of the configuration in force
    bool                            relay{false};  //!< Whether this VM watches the store
    std::vector<membership::Member> members;       //!< Known VMs
    std::uint64_t                   probes{0};     //!< Probes sent since the start
    std::map<std::string, double>   probeCost;     //!< Server time charged for probes in milliseconds, by workspace
    std::uint64_t                   storeCalls{0}; //!< Calls to the store since the start
};

////////////////////////////////////////////////////////////
/// \brief Runs the control logic of one node and its communication with peers, store and servers
///
/// The controller is used by the loop thread only. Blocking calls run on
/// helper threads, which post their results to the loop.
////////////////////////////////////////////////////////////
class ControlThread : private adapters::peers::PeerEvents
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Start the threads
    ///
    /// \param settings Settings of the control logic
    /// \param peers    Settings of the communication between peers
    /// \param ports    Interfaces that the control logic uses
    ////////////////////////////////////////////////////////////
    ControlThread(node::ControllerSettings settings, adapters::peers::PeerSettings peers, ControlPorts ports);

    ~ControlThread() override;
    ControlThread(const ControlThread&) = delete;
    ControlThread& operator=(const ControlThread&) = delete;

    ////////////////////////////////////////////////////////////
    /// \brief Announce to peers that this VM is stopping
    ////////////////////////////////////////////////////////////
    void leave();

    ////////////////////////////////////////////////////////////
    /// \brief Get a copy of the current status; waits for the loop
    ////////////////////////////////////////////////////////////
    [[nodiscard]] ControlStatus status();

    ////////////////////////////////////////////////////////////
    /// \brief Get the number of VMs that are alive, including this one; does not wait for the loop
    ////////////////////////////////////////////////////////////
    [[nodiscard]] int aliveVms() const;

    ////////////////////////////////////////////////////////////
    /// \brief Get the error that ended the loop; empty while the loop runs
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::string failure() const;

private:
    [[nodiscard]] node::Digest         exchangeReceived(const node::Digest& digest) override;
    [[nodiscard]] state::DocumentBatch documentsSince(std::uint64_t revision) override;
    void                               exchanged(const node::Digest& answer) override;
    void                               exchangeFailed(const std::string& peer) override;
    void documentsReceived(const membership::Member& peer, const state::DocumentBatch& batch) override;
    void pullFailed(const std::string& peer) override;
    void tick() override;

    void runActions();
    void perform(const node::ExchangeWith& action);
    void perform(const node::PullDocuments& action);
    void perform(const node::ReadStore& action);
    void perform(const node::WatchStore& action);
    void perform(const node::StopWatch& action);
    void perform(const node::ListMembers& action);
    void perform(const node::AcquireLease& action);
    void perform(const node::RenewLease& action);
    void perform(const node::ReleaseLease& action);
    void perform(const node::SendProbe& action);
    void perform(const node::ApplyWorkspace& action);
    void perform(const node::RemoveWorkspace& action);
    void perform(const node::RejectedDocument& action);
    void perform(const node::ApplyServerReport& action);

    void runOnLoop(const std::function<void()>& work);

    node::ControllerSettings        m_settings;        //!< Settings of the control logic
    ControlPorts                    m_ports;           //!< Interfaces that the control logic uses
    node::Controller                m_controller;      //!< The control logic
    node::ControlActions            m_actions;         //!< Actions to execute
    std::vector<node::ServerReport> m_reports;         //!< Reports that a server is leaving; buffer reused by each tick
    adapters::peers::PeerLoop       m_loop;            //!< Event loop of `m_thread`
    ProbingLease                    m_lease;           //!< Lease on the right to probe; used by the store thread
    std::atomic<std::uint64_t>      m_watchNumber{0};  //!< Number of the current watch; 0 if none
    std::uint64_t                   m_watches{0};      //!< Watches started so far
    std::uint64_t                   m_probes{0};       //!< Probes sent so far
    std::map<std::string, double>   m_probeCost;       //!< Server time charged for probes in milliseconds, by workspace
    std::atomic<std::uint64_t>      m_storeCalls{0};   //!< Calls to the store so far
    std::atomic<int>                m_alive{1};        //!< VMs that are alive, including this one
    std::atomic<bool>               m_stopping{false}; //!< Set when the threads must end
    std::string                     m_failure;         //!< Error that ended the loop; valid once `m_failed` is set
    std::atomic<bool>               m_failed{false};   //!< Set once the loop has ended with an error
    TaskThread                      m_storeThread;     //!< Runs calls to the store
    TaskThread                      m_watchThread;     //!< Runs the watch
    TaskThread                      m_probeThread;     //!< Runs probes
    std::thread                     m_thread;          //!< Runs the loop
};

} // namespace sailpath::control
