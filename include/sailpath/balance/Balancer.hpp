#pragma once

#include <sailpath/balance/CrashLedger.hpp>
#include <sailpath/balance/ServerNotice.hpp>
#include <sailpath/balance/ServicePool.hpp>
#include <sailpath/balance/Settings.hpp>
#include <sailpath/balance/Step.hpp>
#include <sailpath/balance/WorkspaceQuotas.hpp>
#include <sailpath/core/Random.hpp>
#include <sailpath/deployment/CrashReport.hpp>
#include <sailpath/deployment/DeclaredState.hpp>
#include <sailpath/deployment/KeyTable.hpp>
#include <sailpath/deployment/LimitReport.hpp>
#include <sailpath/deployment/RouteTable.hpp>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sailpath::balance
{
////////////////////////////////////////////////////////////
/// \brief A whole request of a caller, as far as decisions need it
////////////////////////////////////////////////////////////
struct Arrival
{
    std::string_view              host;     //!< Host header
    std::string_view              target;   //!< Path and query
    core::Timestamp               since{};  //!< When its first byte came
    std::optional<core::Duration> timeLeft; //!< Time the caller waits from then on, when it says so

    std::optional<deployment::RequestIdentity> identity{}; //!< Given while `Balancer::looksUpRequests`
    std::string_view                           key{};      //!< Of the caller's workspace; empty without
};

////////////////////////////////////////////////////////////
/// \brief What came of an attempt
////////////////////////////////////////////////////////////
struct Outcome
{
    AttemptEnd                    end{AttemptEnd::Lost};  //!< How it ended
    unsigned                      status{0};              //!< Of the answer
    std::optional<Load>           load;                   //!< Load report on the answer
    core::Duration                comeBack{};             //!< When the server says to come back
    bool                          misdirected{false};     //!< With `NotRun`: another instance answered
    std::optional<double>         limit;                  //!< See `unlimited`; null when the answer does not tell
    std::optional<core::Duration> warmUp;                 //!< How much longer the server says it is cold; 0 for not
    bool                          connectionEnded{false}; //!< With `Lost`: the server's side ended the connection

    std::optional<deployment::RequestIdentity> identity; //!< With `connectionEnded`, and while requests are looked up
};

////////////////////////////////////////////////////////////
/// \brief An instance said, other than was believed, whether it is cold
////////////////////////////////////////////////////////////
struct WarmthNews
{
    std::shared_ptr<const deployment::Instance> instance; //!< Which
    core::Duration                              left{};   //!< How much longer it is cold; 0 for not
};

////////////////////////////////////////////////////////////
/// \brief An instance was found to take only so much, or another measure of it, or everything again
////////////////////////////////////////////////////////////
struct LimitChange
{
    std::shared_ptr<const deployment::Instance> instance; //!< Which
    double        perSecond{unlimited};                   //!< Requests that it takes from all nodes together
    std::uint32_t node{0};                                //!< Who told: short hash of a node; 0: it did
};

////////////////////////////////////////////////////////////
/// \brief What became of a look whether an instance still takes connections
////////////////////////////////////////////////////////////
enum class CheckResult
{
    Accepts, //!< A connection came up
    Refuses, //!< Nothing listens there any more
    Unknown  //!< No answer in time, or none that tells
};

////////////////////////////////////////////////////////////
/// \brief One node's decisions about requests
///
/// Does no input or output, starts no threads and reads no clock; belongs
/// to one thread.
////////////////////////////////////////////////////////////
class Balancer
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Start without configuration
    ///
    /// \param now Start of this life of the node
    ////////////////////////////////////////////////////////////
    Balancer(Settings settings, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Put what is declared in force
    ////////////////////////////////////////////////////////////
    void configure(const deployment::DeclaredState& declared, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Note when what is in force was last known to be what operators declare; null when it never was
    ////////////////////////////////////////////////////////////
    void proved(std::optional<core::Timestamp> at);

    ////////////////////////////////////////////////////////////
    /// \brief Decide about a request that has arrived
    ////////////////////////////////////////////////////////////
    void admit(Ticket ticket, const Arrival& arrival, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Decide what follows the end of an attempt
    ////////////////////////////////////////////////////////////
    void attemptEnded(Ticket ticket, unsigned attempt, const Outcome& outcome, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Hear what a probe found
    ///
    /// \param load Null when the server did not tell
    ////////////////////////////////////////////////////////////
    void probed(Ticket ticket, unsigned probe, const Outcome& outcome, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Hear what the head of an answer says of the requests that its server wants
    ///
    /// Holds whatever becomes of the request that was answered, so it is told
    /// for each answer, before its end is.
    ////////////////////////////////////////////////////////////
    void noticed(const std::shared_ptr<const deployment::Instance>& instance, const ServerNotice& notice,
                 NoticeSource source, core::Timestamp now);

    [[nodiscard]] std::vector<NoticeChange>  takeNotices(); //!< That changed what is believed, since the last call
    [[nodiscard]] std::vector<NoticeInForce> notices(core::Timestamp now) const; //!< Those that hold

    ////////////////////////////////////////////////////////////
    /// \brief Note that the caller of a request has left
    ////////////////////////////////////////////////////////////
    void callerLeft(Ticket ticket, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Hear which instances other nodes saw fail requests
    ////////////////////////////////////////////////////////////
    void heardFailures(std::span<const deployment::ServerFailure> failures, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Instances that several nodes saw fail, suspects since the last call
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::vector<std::shared_ptr<const deployment::Instance>> takeSuspects();

    ////////////////////////////////////////////////////////////
    /// \brief Instances that said, other than was believed, that they are cold or warm, since the last call
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::vector<WarmthNews> takeWarmthNews();

    ////////////////////////////////////////////////////////////
    /// \brief Instances that were found to take less, or more, than was believed, since the last call
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::vector<LimitChange> takeLimitChanges();

    [[nodiscard]] std::vector<LimitState> limits(core::Timestamp now) const; //!< Instances that are limited

    ////////////////////////////////////////////////////////////
    /// \brief Hear what other nodes heard from limited instances and sent there
    ////////////////////////////////////////////////////////////
    void heardLimits(std::span<const deployment::LimitReport> news, core::Timestamp now);

    [[nodiscard]] std::vector<deployment::LimitReport> takeLimitNews(); //!< For the other nodes, since the last call

    [[nodiscard]] std::vector<QuotaState>   quotas(core::Timestamp now) const; //!< Of workspaces that have one
    [[nodiscard]] std::optional<QuotaState> quota(std::string_view workspace, core::Timestamp now) const; //!< Of one
    [[nodiscard]] bool                      hasQuotas() const;              //!< Some workspace has one
    void                                    heardFleet(core::Timestamp at); //!< Other nodes could be heard then

    [[nodiscard]] std::vector<std::uint32_t> takeFailures(); //!< Short hashes of instances that failed here since

    ////////////////////////////////////////////////////////////
    /// \brief Hear the answer to a `Check` step
    ////////////////////////////////////////////////////////////
    void checked(const deployment::Instance& instance, CheckResult result, core::Timestamp now);

    void heardCrashes(const deployment::CrashReport& news, core::Timestamp now); //!< Other nodes saw servers end

    [[nodiscard]] bool                    looksUpRequests() const; //!< Arrivals and outcomes are to tell the identity
    [[nodiscard]] deployment::CrashReport takeCrashNews();         //!< For the other nodes, since the last call
    [[nodiscard]] const CrashLedger&      crashes() const;         //!< Requests that end servers

    [[nodiscard]] std::vector<deployment::Quarantine> takeQuarantined(); //!< New or wider since the last call

    ////////////////////////////////////////////////////////////
    /// \brief Note the connections to an instance
    ////////////////////////////////////////////////////////////
    void connections(const deployment::Instance& instance, unsigned idle, unsigned open);

    ////////////////////////////////////////////////////////////
    /// \brief Do what has become due
    ////////////////////////////////////////////////////////////
    void due(core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief When something becomes due next
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::optional<core::Timestamp> nextDue() const;

    ////////////////////////////////////////////////////////////
    /// \brief Move the steps decided since the last call
    ////////////////////////////////////////////////////////////
    void takeSteps(std::vector<Step>& steps);

    ////////////////////////////////////////////////////////////
    /// \brief The route in force that covers a request; null when there is none
    ////////////////////////////////////////////////////////////
    [[nodiscard]] const deployment::HostRoute* findRoute(std::string_view host, std::string_view target) const;

    [[nodiscard]] const deployment::Workspace* findWorkspace(std::string_view key) const; //!< Null for no key of any

    [[nodiscard]] bool        configured() const; //!< Requests can be decided about
    [[nodiscard]] std::size_t unfinished() const; //!< Requests held or at servers

private:
    struct Attempt
    {
        std::shared_ptr<ServerView> server;        //!< Where
        core::Timestamp             sentAt{};      //!< When
        double                      expectedMs{0}; //!< Estimated time to the answer
        double                      plainMs{0};    //!< The same without the instance's own ratio
        double                      crowding{0};   //!< Of the instance, when it was sent
        bool                        running{true}; //!< No end was reported
    };

    ////////////////////////////////////////////////////////////
    /// \brief The search for a server: rounds of probes until one looks good
    ////////////////////////////////////////////////////////////
    struct Search
    {
        bool                                     active{false};    //!< Under way
        bool                                     pausing{false};   //!< Between rounds
        core::Timestamp                          next{};           //!< End of the round or the pause
        unsigned                                 waiting{0};       //!< Probes of the round without an answer
        std::vector<ServerView*>                 asked;            //!< In the rounds so far, not yet to be asked again
        std::vector<std::shared_ptr<ServerView>> probes;           //!< By number, from 1
        std::size_t                              roundStart{0};    //!< First probe of the round
        unsigned                                 furtherRounds{0}; //!< Begun though some server would do
    };

    struct Request
    {
        deployment::HostRoute        route;             //!< As of its arrival
        std::shared_ptr<ServicePool> pool;              //!< Service it goes to
        std::string                  workspace;         //!< That it is sent for; empty without
        core::Timestamp              since{};           //!< Its first byte
        core::Timestamp              firstTry{};        //!< When its caller is believed to have tried first
        core::Timestamp              deadline{};        //!< Final answer
        core::Timestamp              callerDeadline{};  //!< When its caller stops waiting
        core::Timestamp              wake{};            //!< When it is to be looked at next
        std::vector<Attempt>         attempts;          //!< In order; the first is number 1
        std::vector<ServerView*>     tried;             //!< Servers of the attempts
        Search                       search;            //!< For a server
        unsigned                     sends{0};          //!< Attempts that may have reached a server
        bool                         mayHaveRun{false}; //!< Some attempt's outcome is not known
        unsigned                     lastAnswer{0};     //!< Attempt whose answer is passed on if nothing better comes
        core::Timestamp              noHedgeUntil{};    //!< No further send before
        bool                         left{false};       //!< Its caller left
        core::Duration               comeBack{};        //!< Latest word of a server on when to come back
        std::uint32_t                draw{0};           //!< Of the search, for chances that are taken once
        unsigned                     rank{0};           //!< Kinds of request of the service that are more urgent

        std::optional<deployment::RequestIdentity> identity; //!< As far as it was told
    };

    /// \brief A request whose connection ended, while it is not known whether its server did
    struct LostRequest
    {
        deployment::RequestIdentity identity;
        core::Timestamp             sentAt;
        core::Timestamp             lostAt;
    };

    [[nodiscard]] bool takeAll(const deployment::DeclaredState& declared, core::Timestamp now); //!< A service is new
    [[nodiscard]] bool takeChanged(const deployment::DeclaredState& declared,
                                   core::Timestamp                  now); //!< A service is new
    const std::shared_ptr<ServicePool>& poolOf(const std::string& service, bool& added);
    void                                expectWork();
    /// \brief A request that came before the first configuration
    struct Early
    {
        Ticket                        ticket{0};
        std::string                   host;
        std::string                   target;
        std::string                   key;
        core::Timestamp               since{};
        std::optional<core::Duration> timeLeft;
        core::Timestamp               until{}; //!< It is refused then

        std::optional<deployment::RequestIdentity> identity;
    };

    void               hold(Ticket ticket, const Arrival& arrival, core::Timestamp now);
    void               admitEarly(core::Timestamp now);
    [[nodiscard]] bool refusedByKey(Ticket ticket, const Arrival& arrival, const deployment::HostRoute& route,
                                    core::Timestamp now);
    [[nodiscard]] std::shared_ptr<ServicePool> poolFor(const deployment::HostRoute& route);
    /// \brief Decide whether a request is refused for load, and note in its service's pressure what was decided
    [[nodiscard]] bool        turnsAway(const Request& request, const Choice& choice, core::Timestamp now) const;
    /// \brief Whether a request would be sent to a server, if that was all there is
    [[nodiscard]] bool        admits(const Request& request, const Choice& choice, core::Timestamp now) const;
    [[nodiscard]] static bool exceedsDeadline(const Request& request, const Choice& choice, core::Timestamp now);
    [[nodiscard]] static bool mayBeInTime(const Request& request, core::Timestamp now);
    [[nodiscard]] static bool delaysMoreUrgent(const Request& request, const ServerView& server, core::Timestamp now);
    [[nodiscard]] bool        maySendAgain(Request& request, core::Timestamp now) const;
    [[nodiscard]] bool        sendAgain(Ticket ticket, Request& request, const Choice& choice, core::Timestamp now);
    void                      seek(Ticket ticket, Request& request, core::Timestamp now);
    void                      beginRound(Ticket ticket, Request& request, core::Timestamp now);
    void                      lookOn(Ticket ticket, Request& request, core::Timestamp now);
    void                      endRound(Ticket ticket, Request& request, core::Timestamp now);
    void                      settle(Ticket ticket, Request& request, const Choice& choice, core::Timestamp now);
    [[nodiscard]] bool        good(const Request& request, const Choice& choice, core::Timestamp now) const;
    [[nodiscard]] bool        looksGood(const Request& request, double finishMs) const;
    [[nodiscard]] static bool worthLookingOn(const Request& request);
    [[nodiscard]] bool        fresh(const Choice& choice, core::Timestamp now) const;
    [[nodiscard]] bool        meetsTarget(const Request& request, double finishMs, core::Timestamp now) const;
    void                      forward(Ticket ticket, Request& request, const Choice& choice, core::Timestamp now);
    void                      learn(Request& request, Attempt& attempt, const Outcome& outcome, core::Timestamp now);
    void                      noteLost(const Request& request, const Attempt& attempt, core::Timestamp now);
    void                      noteServed(const deployment::RequestIdentity& identity, core::Timestamp now);
    [[nodiscard]] bool        quarantined(Ticket ticket, const Request& request, core::Timestamp now);
    [[nodiscard]] bool        sameIsUnderWay(const Request& request) const; //!< And servers ended under it
    [[nodiscard]] bool        mayEndAnother(const Request& request, core::Timestamp now) const; //!< If sent once more
    void                      noteFailure(ServicePool& pool, const ServerView& server, core::Timestamp now);
    void                      witness(ServicePool& pool, const deployment::ServerFailure& failure, core::Timestamp now);
    void                      learnLimit(ServicePool& pool, ServerView& server, double perSecond, core::Timestamp now);
    void                      noteLimit(const ServerView& server, double sent, core::Timestamp now);
    void                 learnLoad(ServicePool& pool, ServerView& server, const Outcome& outcome, core::Timestamp now);
    void                 conclude(Ticket ticket, Request& request, core::Timestamp now);
    void                 refuse(Ticket ticket, const Refusal& refusal);
    [[nodiscard]] bool   mayDeny(core::Timestamp now) const;
    void                 timeOut(Ticket ticket, Request& request, core::Timestamp now);
    void                 hedge(Ticket ticket, Request& request, core::Timestamp now);
    void                 abandonRunning(Ticket ticket, Request& request, core::Timestamp now);
    void                 plan(Ticket ticket, Request& request, core::Timestamp now);
    void                 close(Ticket ticket);
    [[nodiscard]] Wish   wishOf(const Request& request) const;
    [[nodiscard]] double retryExtra() const;
    [[nodiscard]] core::Duration comeBackForTurn(double openness);
    [[nodiscard]] core::Duration comeBackAfter(core::Duration backOff);
    [[nodiscard]] core::Duration comeBackFrom(Shortage shortage, const ServicePool& pool, core::Timestamp now);
    [[nodiscard]] core::Duration comeBack(const ServicePool& pool, double expectedMs);

    Settings                                      m_settings;   //!< Constants
    core::Timestamp                               m_born;       //!< Start of this life
    core::Random                                  m_random;     //!< For choices
    std::optional<core::Timestamp>                m_provedAt;   //!< The configuration was the operators' then
    std::shared_ptr<const deployment::Deployment> m_deployment; //!< In force
    deployment::RouteTable                        m_routes;     //!< In force
    deployment::KeyTable                          m_keys;       //!< In force
    WorkspaceQuotas                               m_quotas;     //!< In force
    std::unordered_map<std::string, std::shared_ptr<ServicePool>> m_pools;       //!< By service
    std::unordered_map<std::string, std::vector<double>>          m_credit;      //!< By route: what each part is owed
    std::uint32_t                                                 m_searches{0}; //!< For servers, so far
    unsigned                                                      m_nodes{1};    //!< That share budgets
    std::unordered_map<Ticket, Request>                           m_requests;    //!< Unfinished
    std::set<std::pair<core::Timestamp, Ticket>>                  m_wakes;       //!< What is due when
    std::deque<Early>                                             m_early;       //!< In the order that they came
    std::vector<std::uint32_t>                                    m_failures;    //!< Instances that failed, not taken
    std::vector<std::shared_ptr<const deployment::Instance>>      m_suspects;    //!< New ones, not taken
    std::vector<WarmthNews>                                       m_warmth;      //!< Not taken
    std::vector<NoticeChange>                                     m_notices;     //!< Not taken
    std::vector<LimitChange>                                      m_limits;      //!< Not taken
    std::vector<deployment::LimitReport>                          m_limitNews;   //!< Not taken, one for each instance
    std::vector<Step>                                             m_steps;       //!< Decided, not taken
    CrashLedger                                                   m_crashes;     //!< Requests that end servers
    std::map<std::string, std::vector<LostRequest>>               m_checks;      //!< Under way, by instance
    deployment::CrashReport                                       m_crashNews;   //!< Not taken
};

} // namespace sailpath::balance
