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
/// \brief One node's control logic: membership, distribution of configuration, leases for probing
///
/// The controller does no input or output, starts no threads and reads no
/// clock. The program reports each event with a call and carries out the
/// actions that the call appends. All calls must come from one thread.
////////////////////////////////////////////////////////////
class Controller
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Create a controller without peers or configuration
    ///
    /// \param settings Settings, and this VM's member entry
    /// \param now      Current time
    ////////////////////////////////////////////////////////////
    Controller(ControllerSettings settings, core::Timestamp now);

    Controller(const Controller&) = delete;
    Controller& operator=(const Controller&) = delete;

    ////////////////////////////////////////////////////////////
    /// \brief Advance to the current time; to be called about every 50 ms
    ////////////////////////////////////////////////////////////
    void tick(core::Timestamp now, ControlActions& actions);

    ////////////////////////////////////////////////////////////
    /// \brief Process a peer's digest and return this VM's digest as the answer
    ////////////////////////////////////////////////////////////
    [[nodiscard]] Digest exchangeReceived(const Digest& digest, core::Timestamp now, ControlActions& actions);

    ////////////////////////////////////////////////////////////
    /// \brief Process a peer's answer to an `ExchangeWith`
    ////////////////////////////////////////////////////////////
    void exchanged(const Digest& answer, core::Timestamp now, ControlActions& actions);

    ////////////////////////////////////////////////////////////
    /// \brief Record that an `ExchangeWith` got no answer; the exchange is repeated before the peer is suspected
    ////////////////////////////////////////////////////////////
    void exchangeFailed(std::string_view peer, core::Timestamp now, ControlActions& actions);

    ////////////////////////////////////////////////////////////
    /// \brief Get the documents newer than a revision, for a peer that requested them
    ////////////////////////////////////////////////////////////
    [[nodiscard]] state::DocumentBatch documentsSince(std::uint64_t revision) const;

    ////////////////////////////////////////////////////////////
    /// \brief Process the answer to a `PullDocuments`
    ///
    /// \param peer  Peer that answered
    /// \param batch Documents that the peer sent
    ////////////////////////////////////////////////////////////
    void documentsReceived(const membership::Member& peer, const state::DocumentBatch& batch, core::Timestamp now,
                           ControlActions& actions);

    ////////////////////////////////////////////////////////////
    /// \brief Record that a `PullDocuments` got no answer
    ////////////////////////////////////////////////////////////
    void pullFailed();

    ////////////////////////////////////////////////////////////
    /// \brief Process the answer to a `ReadStore`
    ///
    /// \param documents All documents in the store
    /// \param revision  Revision of the store at the time of the read
    ////////////////////////////////////////////////////////////
    void storeRead(std::span<const state::Document> documents, std::uint64_t revision, core::Timestamp now,
                   ControlActions& actions);

    ////////////////////////////////////////////////////////////
    /// \brief Process a change reported by the watch on the store
    ////////////////////////////////////////////////////////////
    void storeChanged(std::span<const state::Document> documents, core::Timestamp now, ControlActions& actions);

    ////////////////////////////////////////////////////////////
    /// \brief Record that a `ReadStore` failed or the watch ended
    ////////////////////////////////////////////////////////////
    void storeFailed(core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Process the platform's list of VMs, which may be out of date
    ////////////////////////////////////////////////////////////
    void membersListed(std::span<const membership::Member> members, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Process the answer to an `AcquireLease` or a `RenewLease`
    ////////////////////////////////////////////////////////////
    void leaseAnswered(const LeaseAnswer& answer, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Process the result of a `SendProbe`
    ////////////////////////////////////////////////////////////
    void probed(const ServerReport& report, core::Timestamp now, ControlActions& actions);

    ////////////////////////////////////////////////////////////
    /// \brief Process the dispatcher's report that a server is draining, and pass the report to peers at once
    ////////////////////////////////////////////////////////////
    void serverDraining(const ServerReport& report, core::Timestamp now, ControlActions& actions);

    ////////////////////////////////////////////////////////////
    /// \brief Announce to peers that this VM stops, and release its lease
    ////////////////////////////////////////////////////////////
    void leave(core::Timestamp now, ControlActions& actions);

    [[nodiscard]] std::uint64_t revision() const; //!< Revision up to which the configuration is complete
    [[nodiscard]] const membership::MemberTable& members() const; //!< Members known to this VM
    [[nodiscard]] const Prober&                  prober() const;  //!< Prober of this VM
    [[nodiscard]] bool isRelay() const; //!< Whether this VM is a relay, which watches the store

private:
    enum class StoreState
    {
        Idle,    //!< No read or watch in progress
        Reading, //!< A `ReadStore` is in progress
        Watching //!< The watch on the store is active
    };

    struct ReceivedReport
    {
        ServerReport    report;       //!< Latest report
        core::Timestamp at{};         //!< When the report was made
        unsigned        timesSent{0}; //!< Times that the report was put into a digest
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

    ControllerSettings            m_settings;                     //!< Settings
    core::Random                  m_random;                       //!< Source of peer choices and jitter
    membership::MemberTable       m_members;                      //!< Members known to this VM
    state::ConfigurationState     m_configuration;                //!< Documents in force
    Prober                        m_prober;                       //!< Leases and probes of this VM
    state::Backoff                m_storeBackoff;                 //!< Delay after failed store requests
    StoreState                    m_storeState{StoreState::Idle}; //!< Store request in progress
    bool                          m_relay{false};                 //!< Whether this VM watches the store
    bool                          m_pulling{false};               //!< A `PullDocuments` is in progress
    core::Timestamp               m_nextStoreRead;                //!< Time of the next `ReadStore`
    core::Timestamp               m_nextExchange;                 //!< Time of the next periodic exchange
    core::Timestamp               m_nextMemberList;               //!< Time of the next `ListMembers`
    core::Timestamp               m_nextDrainingNotice{}; //!< Earliest time of the next notice of draining servers
    bool                          m_drainingNoticePending{false}; //!< A notice of a draining server has to be sent
    bool                          m_leaving{false};               //!< This VM is stopping
    bool                          m_storeRequested{false};        //!< The store was read at least once since the start
    std::uint64_t                 m_memberVersion{std::numeric_limits<
        std::uint64_t>::max()}; //!< Version of the members from which `m_alive` and `m_relayWanted` were computed
    std::vector<std::string_view> m_alive;     //!< Names of the live VMs, including this VM
    bool m_relayWanted{false};                 //!< Whether this VM is chosen among the live VMs to watch the store
    core::StringMap<ReceivedReport> m_reports; //!< Recent reports by server
    core::StringMap<unsigned>       m_failedExchanges; //!< Consecutive exchanges without an answer, by peer
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
