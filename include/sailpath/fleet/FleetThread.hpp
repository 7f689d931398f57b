#pragma once

#include <sailpath/adapters/links/TunnelRequest.hpp>
#include <sailpath/adapters/settings/Endpoint.hpp>
#include <sailpath/deployment/CrashReport.hpp>
#include <sailpath/deployment/DeclaredState.hpp>
#include <sailpath/deployment/InstanceRegistry.hpp>
#include <sailpath/deployment/LimitReport.hpp>
#include <sailpath/deployment/ServerFailure.hpp>
#include <sailpath/fleet/StartStages.hpp>
#include <sailpath/fleet/Translator.hpp>
#include <sailpath/ports/EventLog.hpp>
#include <sailpath/replication/ItemSource.hpp>
#include <sailpath/replication/Replica.hpp>

#include <functional>
#include <memory>

namespace asio
{
class io_context;
}

namespace sailpath::fleet
{
////////////////////////////////////////////////////////////
/// \brief Settings of the control thread
////////////////////////////////////////////////////////////
struct FleetSettings
{
    replication::ReplicaSettings          replica;   //!< Settings of the copy of the store
    adapters::settings::Endpoint          listen;    //!< Address and port that peers connect to
    deployment::InstanceRetentionSettings retention; //!< For instances whose entries were removed
};

////////////////////////////////////////////////////////////
/// \brief Calls to the store of one kind since the start of the process
////////////////////////////////////////////////////////////
struct StoreUse
{
    std::uint64_t times{0}; //!< Reads or watches begun; a read of several pages takes one call for each
    std::uint64_t bytes{0}; //!< Size of the answers' bodies
};

////////////////////////////////////////////////////////////
/// \brief State and counters of the control thread
////////////////////////////////////////////////////////////
struct FleetStatus
{
    std::uint64_t revision{0};       //!< Store revision of the copy
    std::uint64_t version{0};        //!< Version of the deployment in force
    double        ageMs{-1};         //!< Age of the copy in milliseconds; negative when it was never up to date
    unsigned      nodes{0};          //!< Nodes heard of lately
    std::size_t   remembered{0};     //!< Nodes heard of in the last ten minutes
    std::size_t   followers{0};      //!< Nodes that get updates from this node
    std::uint64_t storeCalls{0};     //!< Calls to the store since the start
    bool          watching{false};   //!< This node calls the store itself
    StoreUse      readings;          //!< Reads of all items
    StoreUse      watches;           //!< Watches for changes
    StartStages   start;             //!< Times of the stages of this start
    std::size_t   evacuated{0};      //!< Data centres whose instances get no requests
    std::uint64_t rejected{0};       //!< Instance entries rejected since the start because they could not be read
    std::uint64_t snapshotWrites{0}; //!< Snapshots that this node wrote since the start
    std::optional<core::Duration> snapshotAge; //!< Age of the snapshot in the store; null without one
};

////////////////////////////////////////////////////////////
/// \brief The control thread: keeps the copy of the store up to date and publishes the declared state to the data path
////////////////////////////////////////////////////////////
class FleetThread
{
public:
    using MakeSource = std::function<std::unique_ptr<replication::ItemSource>(asio::io_context&)>;
    using PublishHandler = std::function<void(deployment::DeclaredState)>;
    using CrashHandler = std::function<void(deployment::CrashReport)>;
    using LimitHandler = std::function<void(std::vector<deployment::LimitReport>)>;
    using TunnelHandler = std::function<void(adapters::links::TunnelRequest)>;
    using FailureHandler = std::function<void(std::vector<deployment::ServerFailure>)>;

    ////////////////////////////////////////////////////////////
    /// \brief Start the thread
    ///
    /// \param makeSource Creates the port to the store on the thread's event loop
    /// \param translator Outlives the thread
    /// \param onPublish  Called on the control thread with each declared state
    /// \param log        Outlives the thread
    ////////////////////////////////////////////////////////////
    FleetThread(FleetSettings settings, const MakeSource& makeSource, const Translator& translator,
                PublishHandler onPublish, ports::EventLog& log);

    ~FleetThread();
    FleetThread(const FleetThread&) = delete;
    FleetThread& operator=(const FleetThread&) = delete;

    [[nodiscard]] FleetStatus status() const; //!< May be called from any thread

    void reportServerFailures(std::vector<std::uint32_t> servers); //!< Failures that this node saw; from any thread
    void onFailures(FailureHandler handler); //!< Called on the control thread with other nodes' reports; set it once

    void reportCrashes(deployment::CrashReport report);              //!< Crashes that this node saw; from any thread
    void onCrashes(CrashHandler handler);                            //!< Other nodes' reports; see `onFailures`
    void reportLimits(std::vector<deployment::LimitReport> reports); //!< Limits and sends of this node; from any thread
    void onLimits(LimitHandler handler);                             //!< Other nodes' reports; see `onFailures`
    void onTunnels(TunnelHandler handler); //!< Called on the control thread with members' requests; set it once
    void offerSnapshot(snapshot::LearnedState learned);              //!< What this node has learned; from any thread
    void reportQuarantine(const deployment::Quarantine& quarantine); //!< A conclusion of this node; from any thread

    ////////////////////////////////////////////////////////////
    /// \brief Get the last time at which the copy matched the store; null before the first; from any thread
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::optional<core::Timestamp> provedAt() const;

    [[nodiscard]] std::optional<core::Timestamp> heardAt() const; //!< Last contact with a relay or the store

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl; //!< Event loop and thread
};

} // namespace sailpath::fleet
