#pragma once

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
/// \brief Settings of the control side
////////////////////////////////////////////////////////////
struct FleetSettings
{
    replication::ReplicaSettings replica; //!< Copy of the store
    adapters::settings::Endpoint listen;  //!< Where peers connect
    deployment::BeliefSettings   belief;  //!< In instances whose entries vanished
};

////////////////////////////////////////////////////////////
/// \brief What the store was asked for one reason, since the start
////////////////////////////////////////////////////////////
struct StoreUse
{
    std::uint64_t times{0}; //!< Readings or watches begun; a reading of several pages takes as many calls
    std::uint64_t bytes{0}; //!< Of the answers' bodies
};

////////////////////////////////////////////////////////////
/// \brief Figures of the control side
////////////////////////////////////////////////////////////
struct FleetStatus
{
    std::uint64_t revision{0};     //!< Of the copy
    std::uint64_t version{0};      //!< Of the configuration in force
    double        ageMs{-1};       //!< Of the copy; negative without one
    unsigned      nodes{0};        //!< Known of
    std::size_t   followers{0};    //!< Fed by this node
    std::uint64_t storeCalls{0};   //!< Since the start
    bool          watching{false}; //!< This node calls the store
    StoreUse      readings;        //!< Of all items
    StoreUse      watches;         //!< For changes
    StartStages   start;           //!< Of this life
    std::size_t   evacuated{0};    //!< Data centres whose instances are sent nothing
    std::uint64_t rejected{0};     //!< Entries since the start that named no server
};

////////////////////////////////////////////////////////////
/// \brief The control thread: keeps the copy of the store, tells the data path what is declared
////////////////////////////////////////////////////////////
class FleetThread
{
public:
    using MakeSource = std::function<std::unique_ptr<replication::ItemSource>(asio::io_context&)>;
    using Published = std::function<void(deployment::Declared)>;
    using HeardCrashes = std::function<void(deployment::CrashNews)>;
    using HeardLimits = std::function<void(std::vector<deployment::LimitNews>)>;
    using HeardFailures = std::function<void(std::vector<deployment::ServerFailure>)>;

    ////////////////////////////////////////////////////////////
    /// \brief Start the thread
    ///
    /// \param makeSource Makes the store's port on the thread's loop
    /// \param translator Outlives the thread
    /// \param published  Called on the control thread with what is declared
    /// \param log        Outlives the thread
    ////////////////////////////////////////////////////////////
    FleetThread(FleetSettings settings, const MakeSource& makeSource, const Translator& translator, Published published,
                ports::EventLog& log);

    ~FleetThread();
    FleetThread(const FleetThread&) = delete;
    FleetThread& operator=(const FleetThread&) = delete;

    [[nodiscard]] FleetStatus status() const; //!< From any thread

    void serversFailed(std::vector<std::uint32_t> servers); //!< This node saw them fail; from any thread
    void onFailures(HeardFailures heard); //!< Called on the control thread with what other nodes saw; set it once

    void crashed(deployment::CrashNews news); //!< Seen by this node; from any thread
    void onCrashes(HeardCrashes heard);       //!< What other nodes saw; as with `onFailures`
    void limited(
        std::vector<deployment::LimitNews> news); //!< Heard from servers, or sent there, by this node; from any thread
    void onLimits(HeardLimits heard);             //!< The same of other nodes; as with `onFailures`
    void quarantined(const deployment::Quarantine& quarantine); //!< Concluded by this node; from any thread

    ////////////////////////////////////////////////////////////
    /// \brief When the copy was last known to be the store's; null before the first time; from any thread
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::optional<core::Timestamp> provedAt() const;

    [[nodiscard]] std::optional<core::Timestamp> heardAt() const; //!< A relay, or the store, could be heard then

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl; //!< Loop and thread
};

} // namespace sailpath::fleet
