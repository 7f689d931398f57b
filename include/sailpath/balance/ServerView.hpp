#pragma once

#include <sailpath/balance/LimitState.hpp>
#include <sailpath/balance/Load.hpp>
#include <sailpath/balance/NoticeState.hpp>
#include <sailpath/balance/Settings.hpp>
#include <sailpath/balance/SharedLimit.hpp>
#include <sailpath/balance/Usual.hpp>
#include <sailpath/core/Time.hpp>
#include <sailpath/deployment/Instance.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace sailpath::balance
{
////////////////////////////////////////////////////////////
/// \brief One node's view of one instance: load, pace, failures
////////////////////////////////////////////////////////////
class ServerView
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Start the view of an instance nothing is known of
    ////////////////////////////////////////////////////////////
    ServerView(deployment::Instance instance, const Settings& settings, core::Timestamp now);

    void joined();                                                   //!< Its service had servers before it
    void update(deployment::Instance instance, core::Timestamp now); //!< Take over a newer announcement of the same

    void retire();   //!< Its service has it no more: a search under way is not to end there
    void evacuate(); //!< Its data centre is evacuated; it gets nothing until it is taken back

    ////////////////////////////////////////////////////////////
    /// \brief Its data centre is taken back: it may have turned cold meanwhile
    ///
    /// \param warmUp How long it is taken for cold unless it tells otherwise
    ////////////////////////////////////////////////////////////
    void takenBack(core::Duration warmUp, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief It said how much longer it is cold; 0 for not
    ///
    /// \return Whether that is not what was believed
    ////////////////////////////////////////////////////////////
    bool toldWarmUp(core::Duration left, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief It said how many requests a second it takes from all nodes together
    ///
    /// \param at        When; other nodes heard it earlier
    /// \param doublings Where this is the first that is heard of a limit: see `SharedLimit`
    ///
    /// \return Whether that is not what was believed
    ////////////////////////////////////////////////////////////
    bool toldLimit(double perSecond, core::Timestamp at, double doublings, core::Timestamp now);

    void sentElsewhere(double requests, double doublings,
                       core::Timestamp now); //!< See `SharedLimit::recordSentElsewhere`

    ServerNotice noticed(const ServerNotice& notice, double spread, core::Timestamp now); //!< See `NoticeState::record`

    void accepted(core::Timestamp sentAt);                //!< It took a request that was sent then, and answered it
    void sent(core::Timestamp now);                       //!< A request was sent
    void ended(core::Timestamp now);                      //!< A request came to an end
    void reported(const Load& load, core::Timestamp now); //!< A load report arrived
    void answered(double latencyMs, double expectedMs);   //!< A good answer arrived
    void overdue(double elapsedMs, double expectedMs);    //!< An attempt was broken off after that time
    void failed(core::Timestamp now);                     //!< An attempt failed by the server's doing
    void shed(core::Timestamp now);                       //!< The server turned a request away

    ////////////////////////////////////////////////////////////
    /// \brief A node of the fleet saw the instance fail a request
    ///
    /// \param node    Which
    /// \param all     Such sights of late over all instances of the service, this one included
    /// \param servers Instances of the service
    ///
    /// \return Whether that is reason to suspect it anew
    ////////////////////////////////////////////////////////////
    bool failedElsewhere(std::uint32_t node, double all, std::size_t servers, core::Timestamp now);

    void suspectFrom(core::Timestamp now);   //!< Avoid it for a while, longer each time that comes soon after the last
    void setIdleConnections(unsigned count); //!< Connections at rest to it
    void setOpenConnections(unsigned count); //!< Connections to it, busy ones included

    ////////////////////////////////////////////////////////////
    /// \brief Estimated milliseconds until a request sent now is answered
    ///
    /// \param workMs Usual work of such a request, milliseconds
    /// \param usual  Of the service; assumed where no fresh report says more
    ////////////////////////////////////////////////////////////
    [[nodiscard]] double finishMs(double workMs, const Usual& usual, core::Timestamp now) const;

    ////////////////////////////////////////////////////////////
    /// \brief How nearly all slots would be taken with one more request, 0 to 1
    ////////////////////////////////////////////////////////////
    [[nodiscard]] double crowding(double others, core::Timestamp now) const;

    ////////////////////////////////////////////////////////////
    /// \brief Whether one more request would make the instance do less work in all than it does now
    ///
    /// \param usual Of the service: how much slower a crowded instance is
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool full(const Usual& usual, core::Timestamp now) const;

    [[nodiscard]] double occupancy(double others, core::Timestamp now) const; //!< Estimated requests of all nodes there
    [[nodiscard]] double failureShare(core::Timestamp now) const;             //!< Share of recent attempts that failed
    [[nodiscard]] bool   suspect(core::Timestamp now) const;                  //!< Several nodes saw it fail of late
    [[nodiscard]] bool   newcomer() const;                    //!< It joined and has told nothing since it is warm
    [[nodiscard]] bool   retired() const;                     //!< Its service has it no more
    [[nodiscard]] bool   evacuated() const;                   //!< Its data centre is evacuated
    [[nodiscard]] bool   cold(core::Timestamp now) const;     //!< It is, or may be, cold
    [[nodiscard]] bool   doubtful(core::Timestamp now) const; //!< Whether it is cold only it could tell
    [[nodiscard]] bool   hasTurn(double perSecond, core::Timestamp now) const; //!< Cold, it may be sent one request
    void                 takeTurn(double perSecond, core::Timestamp now);      //!< Cold, it was sent one
    [[nodiscard]] bool   ejected(core::Timestamp now) const; //!< Whether it is to be left alone for now
    [[nodiscard]] double recent(core::Timestamp now) const;  //!< Requests of this node of late: of the last half second
    [[nodiscard]] const SharedLimit* limit(core::Timestamp now) const; //!< Null when it takes everything
    [[nodiscard]] const NoticeState& notices() const;                  //!< What it said of the requests that it wants
    void                             keepNotices(const NoticeState& notices); //!< Of an earlier view of the same life
    [[nodiscard]] double reportAgeMs(core::Timestamp now) const; //!< Age of the last report; negative without one
    [[nodiscard]] std::optional<double> reportedOthers() const;  //!< Others' requests as of the last report

    [[nodiscard]] const std::shared_ptr<const deployment::Instance>& instance() const; //!< As announced
    [[nodiscard]] unsigned                                           inFlight() const; //!< Own requests there
    [[nodiscard]] unsigned                                           open() const;     //!< Own connections to it
    [[nodiscard]] unsigned                                           idle() const;     //!< Those at rest
    [[nodiscard]] double                                             ratio() const; //!< Observed over expected latency

private:
    [[nodiscard]] double paceNow(double usual, core::Timestamp now) const;

    struct Report
    {
        Load            load;     //!< What it said
        double          others{}; //!< Requests that were not this node's
        core::Timestamp at{};     //!< When it arrived
    };

    const Settings&                             m_settings;         //!< Constants
    std::shared_ptr<const deployment::Instance> m_instance;         //!< As announced
    core::Timestamp                             m_coldUntil{};      //!< It is slow and bears little until then
    bool                                        m_doubtful{false};  //!< Taken for cold without a word of its own
    bool                                        m_retired{false};   //!< Its service has it no more
    bool                                        m_evacuated{false}; //!< Its data centre is
    double                                      m_turns{1};         //!< Requests that it may be sent while cold
    core::Timestamp                             m_turnsAt{};        //!< Time of that figure
    double                                      m_recent{0};        //!< Requests of this node, fading
    core::Timestamp                             m_recentAt{};       //!< Time of that figure
    std::optional<SharedLimit>                  m_limit;            //!< While it takes only so much
    NoticeState                                 m_notices;          //!< What it said of the requests that it wants
    unsigned                                    m_inFlight{0};      //!< Own requests there
    unsigned                                    m_idle{0};          //!< Connections at rest
    unsigned                                    m_open{0};          //!< All connections
    std::optional<Report>                       m_report;           //!< Last report
    double                                      m_ratio{1};         //!< Observed over expected latency
    double          m_failures{0};  //!< Share of recent attempts that failed, as of `m_failuresAt`
    core::Timestamp m_failuresAt{}; //!< Time of the last failure
    std::vector<std::pair<std::uint32_t, core::Timestamp>> m_witnesses;      //!< Nodes that saw it fail, and when last
    core::Timestamp                                        m_suspectUntil{}; //!< Avoided until then
    unsigned                                               m_suspicions{0};  //!< One soon after the other
    bool                                                   m_joined{false};  //!< Its service had servers before it
    unsigned                                               m_inRow{0};       //!< Failures in a row
    core::Timestamp                                        m_ejectedUntil{}; //!< Left alone until then
    core::Timestamp                                        m_shedUntil{};    //!< Taken for full until then
    unsigned                                               m_sheds{0};       //!< Refusals in a row
};

} // namespace sailpath::balance
