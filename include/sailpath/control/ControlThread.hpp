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
/// \brief What the control thread works with; all of it outlives the thread
////////////////////////////////////////////////////////////
struct ControlPorts
{
    ports::Store&                  store;   //!< For calls; used by one thread
    ports::Store&                  watcher; //!< For the watch; used by another
    ports::VmList&                 vms;     //!< List of VMs
    adapters::http::BackendClient& client;  //!< For probes
    entry::SharedDispatcher&       door;    //!< Where configuration is put in force
    ports::EventLog&               log;     //!< Events
};

////////////////////////////////////////////////////////////
/// \brief What the health page says of the control state
////////////////////////////////////////////////////////////
struct ControlStatus
{
    std::uint64_t                   revision{0};   //!< Configuration in force
    bool                            relay{false};  //!< Watches the store
    std::vector<membership::Member> members;       //!< Membership
    std::uint64_t                   probes{0};     //!< Probes sent
    std::map<std::string, double>   probeCost;     //!< Server-milliseconds that they were charged, by workspace
    std::uint64_t                   storeCalls{0}; //!< Calls to the store
};

////////////////////////////////////////////////////////////
/// \brief Runs one node's control logic: the loop with peers, the store, probes
///
/// The controller lives on one thread. Calls that block run on helper
/// threads and come back to it.
////////////////////////////////////////////////////////////
class ControlThread : private adapters::peers::PeerEvents
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Start the threads
    ///
    /// \param settings Of the control logic
    /// \param peers    Of the link between peers
    /// \param ports    What it works with
    ////////////////////////////////////////////////////////////
    ControlThread(node::ControllerSettings settings, adapters::peers::PeerSettings peers, ControlPorts ports);

    ~ControlThread() override;
    ControlThread(const ControlThread&) = delete;
    ControlThread& operator=(const ControlThread&) = delete;

    ////////////////////////////////////////////////////////////
    /// \brief Tell peers that this VM stops
    ////////////////////////////////////////////////////////////
    void leave();

    ////////////////////////////////////////////////////////////
    /// \brief A copy of the present status
    ////////////////////////////////////////////////////////////
    [[nodiscard]] ControlStatus status();

    ////////////////////////////////////////////////////////////
    /// \brief VMs that are alive, this one included; does not wait for the loop
    ////////////////////////////////////////////////////////////
    [[nodiscard]] int aliveVms() const;

    ////////////////////////////////////////////////////////////
    /// \brief Why the loop ended by itself; empty while it runs
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

    void carryOut();
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
    void perform(const node::HearReport& action);

    void onLoop(const std::function<void()>& work);

    node::ControllerSettings        m_settings;       //!< Of the control logic
    ControlPorts                    m_ports;          //!< What it works with
    node::Controller                m_controller;     //!< The control logic
    node::ControlActions            m_actions;        //!< Actions to carry out
    std::vector<node::ServerReport> m_news;           //!< Reused by each tick
    adapters::peers::PeerLoop       m_loop;           //!< The thread's loop
    ProbingLease                    m_lease;          //!< The right to probe; used by the store's thread
    std::atomic<std::uint64_t>      m_watchNumber{0}; //!< Which watch is wanted; 0 for none
    std::uint64_t                   m_watches{0};     //!< Watches started
    std::uint64_t                   m_probes{0};      //!< Probes sent
    std::map<std::string, double>   m_probeCost;      //!< Charged for them, by workspace
    std::atomic<std::uint64_t>      m_storeCalls{0};  //!< Calls to the store
    std::atomic<int>                m_alive{1};       //!< VMs that are alive
    std::atomic<bool>               m_ending{false};  //!< The threads are to end
    std::string                     m_failure;        //!< Why the loop ended
    std::atomic<bool>               m_failed{false};  //!< `m_failure` is set
    TaskThread                      m_storeThread;    //!< For calls to the store
    TaskThread                      m_watchThread;    //!< For the watch
    TaskThread                      m_probeThread;    //!< For probes
    std::thread                     m_thread;         //!< Runs the loop
};

} // namespace sailpath::control
