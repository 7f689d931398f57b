#pragma once

#include <sailpath/core/Random.hpp>
#include <sailpath/core/StringMap.hpp>
#include <sailpath/membership/MemberTable.hpp>
#include <sailpath/node/ControlAction.hpp>
#include <sailpath/node/ControllerSettings.hpp>
#include <sailpath/node/Digest.hpp>
#include <sailpath/node/LeaseAnswer.hpp>
#include <sailpath/node/Prober.hpp>
#include <sailpath/state/Backoff.hpp>
#include <sailpath/state/ConfigurationState.hpp>

#include <limits>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sailpath::node
{
////////////////////////////////////////////////////////////
/// \brief One node's control logic: membership, configuration, the right to probe
///
/// Does no input or output, starts no threads and reads no clock. The
/// program calls it with what happened and carries out the actions that it
/// appends. Belongs to one thread.
////////////////////////////////////////////////////////////
class Controller
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Create a controller that knows nothing yet
    ///
    /// \param settings Constants and this VM's own entry
    /// \param now      Current time
    ////////////////////////////////////////////////////////////
    Controller(ControllerSettings settings, core::Timestamp now);

    Controller(const Controller&) = delete;
    Controller& operator=(const Controller&) = delete;

    ////////////////////////////////////////////////////////////
    /// \brief Let time pass; to be called about every 50 ms
    ////////////////////////////////////////////////////////////
    void tick(core::Timestamp now, ControlActions& actions);

    ////////////////////////////////////////////////////////////
    /// \brief Hear a peer's digest and answer with the own one
    ////////////////////////////////////////////////////////////
    [[nodiscard]] Digest exchangeReceived(const Digest& digest, core::Timestamp now, ControlActions& actions);

    ////////////////////////////////////////////////////////////
    /// \brief Hear a peer's answer to an `ExchangeWith`
    ////////////////////////////////////////////////////////////
    void exchanged(const Digest& answer, core::Timestamp now, ControlActions& actions);

    ////////////////////////////////////////////////////////////
    /// \brief Note that an `ExchangeWith` brought no answer; the peer is asked again before it is suspected
    ////////////////////////////////////////////////////////////
    void exchangeFailed(std::string_view peer, core::Timestamp now, ControlActions& actions);

    ////////////////////////////////////////////////////////////
    /// \brief Documents for a peer that asks
    ////////////////////////////////////////////////////////////
    [[nodiscard]] state::DocumentBatch documentsSince(std::uint64_t revision) const;

    ////////////////////////////////////////////////////////////
    /// \brief Hear the answer to a `PullDocuments`
    ///
    /// \param peer  The peer that answered
    /// \param batch What it sent
    ////////////////////////////////////////////////////////////
    void documentsReceived(const membership::Member& peer, const state::DocumentBatch& batch, core::Timestamp now,
                           ControlActions& actions);

    ////////////////////////////////////////////////////////////
    /// \brief Note that a `PullDocuments` brought no answer
    ////////////////////////////////////////////////////////////
    void pullFailed();

    ////////////////////////////////////////////////////////////
    /// \brief Hear the answer to a `ReadStore`
    ///
    /// \param documents All documents
    /// \param revision  The store's revision at the time
    ////////////////////////////////////////////////////////////
    void storeRead(std::span<const state::Document> documents, std::uint64_t revision, core::Timestamp now,
                   ControlActions& actions);

    ////////////////////////////////////////////////////////////
    /// \brief Hear a change from the watch
    ////////////////////////////////////////////////////////////
    void storeChanged(std::span<const state::Document> documents, core::Timestamp now, ControlActions& actions);

    ////////////////////////////////////////////////////////////
    /// \brief Note that a `ReadStore` failed or the watch ended
    ////////////////////////////////////////////////////////////
    void storeFailed(core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Hear the platform's list of VMs, which lags
    ////////////////////////////////////////////////////////////
    void membersListed(std::span<const membership::Member> members, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Hear what came of a lease request
    ////////////////////////////////////////////////////////////
    void leaseAnswered(const LeaseAnswer& answer, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Hear what a probe found
    ////////////////////////////////////////////////////////////
    void probed(const ServerReport& report, core::Timestamp now, ControlActions& actions);

    ////////////////////////////////////////////////////////////
    /// \brief Hear from the own dispatcher that a server says it is leaving; peers are told at once
    ////////////////////////////////////////////////////////////
    void serverLeaving(const ServerReport& report, core::Timestamp now, ControlActions& actions);

    ////////////////////////////////////////////////////////////
    /// \brief Announce that this VM stops
    ////////////////////////////////////////////////////////////
    void leave(core::Timestamp now, ControlActions& actions);

    [[nodiscard]] std::uint64_t                  revision() const; //!< Revision in force
    [[nodiscard]] const membership::MemberTable& members() const;  //!< Membership
    [[nodiscard]] const Prober&                  prober() const;   //!< Measuring
    [[nodiscard]] bool                           relay() const;    //!< Whether this VM watches the store

private:
    enum class StoreState
    {
        Idle,    //!< Nothing under way
        Reading, //!< A `ReadStore` is under way
        Watching //!< The watch runs
    };

    struct ReceivedReport
    {
        ServerReport    report;       //!< What was found
        core::Timestamp at{};         //!< When
        unsigned        timesSent{0}; //!< Times that it was told
    };

    [[nodiscard]] Digest makeDigest(core::Timestamp now);
    void               appendReport(ReceivedReport& received, bool draining, core::Timestamp now, Digest& digest) const;
    [[nodiscard]] bool applyDigest(const Digest& digest, core::Timestamp now, ControlActions& actions);
    void               applyReport(const ServerReport& report, core::Timestamp at, ControlActions& actions);
    [[nodiscard]] bool applyDocuments(std::span<const state::Document> documents, core::Timestamp now,
                                      ControlActions& actions);
    void               applyDocument(const state::Document& document, core::Timestamp now, ControlActions& actions);
    void               notifyPeers(core::Timestamp now, ControlActions& actions);
    void               updateStoreAccess(core::Timestamp now, ControlActions& actions);
    void               exchangeWith(const membership::Member& peer, core::Timestamp now, ControlActions& actions);
    [[nodiscard]] core::Duration jittered(core::Duration duration);

    ControllerSettings        m_settings;                     //!< Constants
    core::Random              m_random;                       //!< For choices
    membership::MemberTable   m_members;                      //!< Membership
    state::ConfigurationState m_configuration;                //!< Documents
    Prober                    m_prober;                       //!< Measuring
    state::Backoff            m_storeBackoff;                 //!< After failures of the store
    StoreState                m_storeState{StoreState::Idle}; //!< What is under way with the store
    bool                      m_relay{false};                 //!< Chosen to watch the store
    bool                      m_pulling{false};               //!< A `PullDocuments` is under way
    core::Timestamp           m_nextStoreRead;                //!< Next try at the store
    core::Timestamp           m_nextExchange;                 //!< Next exchange
    core::Timestamp           m_nextMemberList;               //!< Next reading of the list of VMs
    core::Timestamp           m_nextDrainingNotice{};         //!< Next telling of servers that leave
    bool                      m_drainingNoticePending{false}; //!< There is such news
    bool                      m_leaving{false};               //!< This VM stops
    bool                      m_storeRequested{false};        //!< The store was asked since the start
    std::uint64_t             m_memberVersion{
        std::numeric_limits<std::uint64_t>::max()}; //!< Version of the members that the next two belong to
    std::vector<std::string_view>   m_alive;                    //!< Names of the live VMs, this one included
    bool                            m_relayWanted{false};       //!< Among the live VMs, chosen to watch the store
    core::StringMap<ReceivedReport> m_reports;                  //!< Fresh reports by server
    core::StringMap<unsigned>       m_failedExchanges;          //!< Exchanges in a row without an answer, by peer
};

} // namespace sailpath::node

////////////////////////////////////////////////////////////
/// \class sailpath::node::Controller
/// \ingroup node
///
/// \code
/// sailpath::node::Controller     controller(settings, now);
/// sailpath::node::ControlActions actions;
/// controller.tick(now, actions);
/// for (const sailpath::node::ControlAction& action : actions)
///     std::visit(carryOut, action);
/// \endcode
////////////////////////////////////////////////////////////
