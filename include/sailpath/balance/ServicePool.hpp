#pragma once

#include <sailpath/balance/CallerPatience.hpp>
#include <sailpath/balance/Pressure.hpp>
#include <sailpath/balance/ProbeBudget.hpp>
#include <sailpath/balance/RetryWindow.hpp>
#include <sailpath/balance/ServerSubset.hpp>
#include <sailpath/balance/ServerView.hpp>
#include <sailpath/balance/UsualWork.hpp>
#include <sailpath/balance/WarmUpLimit.hpp>
#include <sailpath/core/Random.hpp>
#include <sailpath/deployment/Deployment.hpp>
#include <sailpath/deployment/ServerFailure.hpp>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace sailpath::balance
{
////////////////////////////////////////////////////////////
/// \brief What a choice of a server must respect
////////////////////////////////////////////////////////////
struct Wish
{
    std::string_view                             route;             //!< Name of the route, for its usual work
    bool                                         repeatable{false}; //!< A failure may be mended by another send
    std::span<ServerView* const>                 tried;             //!< Servers that had it already
    bool                                         first{false};      //!< Nothing was asked for this request yet
    std::span<const std::shared_ptr<ServerView>> asked{}; //!< Servers asked for this request, also beyond the own ones
    bool           nearFirst{false};                      //!< Ask servers of the own data centre before all others
    core::Duration freshest{core::Duration::max()};       //!< Only servers that told their load this lately
    std::uint32_t  draw{0};                               //!< Of the request's search, for chances that are taken once
    unsigned       rank{0};                               //!< Kinds of request of the service that are more urgent
    bool           lastResort{false};                     //!< Without another server, one that leaves may be given it
};

////////////////////////////////////////////////////////////
/// \brief A server and the time it is expected to take
////////////////////////////////////////////////////////////
struct Choice
{
    std::shared_ptr<ServerView> server;      //!< Null when none may be given anything
    double                      finishMs{0}; //!< Estimated time to the answer
    double                      crowding{0}; //!< How nearly all its slots are taken with the request, 0 to 1
};

////////////////////////////////////////////////////////////
/// \brief Why a service has no instance that may be given a request
///
/// Where several hold for its instances, the one that is over soonest as a rule.
////////////////////////////////////////////////////////////
enum class Shortage
{
    Other,     //!< Some instance is none of the following
    Evacuated, //!< All are in evacuated data centres
    Limited,   //!< They take only so much, and others send it
    Cold,      //!< Other nodes send what they bear while cold
    BackOff,   //!< They asked for no requests for a while
    Leaving    //!< They have said that they leave
};

////////////////////////////////////////////////////////////
/// \brief A route that sent requests to a service
////////////////////////////////////////////////////////////
struct RouteSeen
{
    unsigned        rank{0};  //!< Lower ones go first
    core::Duration  target{}; //!< Time within which an answer is wanted
    core::Timestamp at{};     //!< Its last request
    CallerPatience  patience; //!< What its callers say they have
};

////////////////////////////////////////////////////////////
/// \brief One service on one node: its instances, their load, its retry budget
////////////////////////////////////////////////////////////
class ServicePool
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Start without instances
    ///
    /// \param settings Outlives the pool
    /// \param born     Start of this life of the node
    ////////////////////////////////////////////////////////////
    ServicePool(std::string name, const Settings& settings, core::Timestamp born);

    void setRule(const deployment::ServiceRule& rule, unsigned nodes); //!< Put what holds for the service in force
    void setConnections(unsigned instanceLimit, unsigned nodes); //!< Connections that one instance takes from all nodes

    ////////////////////////////////////////////////////////////
    /// \brief Put the instances of the service in force; those that stay keep what was learned
    ///
    /// \param evacuated Data centres whose instances get nothing
    ////////////////////////////////////////////////////////////
    void setInstances(std::vector<deployment::Instance> instances, core::Timestamp now,
                      const std::set<std::string>& evacuated = {});

    ////////////////////////////////////////////////////////////
    /// \brief Put one instance in force, a new one or a known one that says other than before
    ///
    /// \param evacuated Data centres whose instances get nothing
    ////////////////////////////////////////////////////////////
    void put(deployment::Instance instance, core::Timestamp now, const std::set<std::string>& evacuated);

    void remove(const std::string& id);                                             //!< One is not there any more
    void setEvacuated(const std::set<std::string>& evacuated, core::Timestamp now); //!< Data centres that get nothing

    [[nodiscard]] std::uint64_t       looked() const; //!< Counts servers looked at in searches
    [[nodiscard]] const ServerSubset& own() const;    //!< Servers among which this node looks first

    void setMembers(std::span<const std::uint32_t> members); //!< Nodes that share what a cold instance bears

    ////////////////////////////////////////////////////////////
    /// \brief Choose the server that is expected to be done first
    ////////////////////////////////////////////////////////////
    [[nodiscard]] Choice choose(const Wish& wish, core::Timestamp now, core::Random& random) const;

    void sent(ServerView& server, core::Timestamp now); //!< A request was sent to a server of the pool

    ////////////////////////////////////////////////////////////
    /// \brief Servers that are worth asking for their load, the most promising first
    ///
    /// \param asked Servers that are not to be asked
    /// \param most  At most so many
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::vector<std::shared_ptr<ServerView>> worthProbing(const Wish&                  wish,
                                                                        std::span<ServerView* const> asked,
                                                                        std::size_t most, core::Timestamp now,
                                                                        core::Random& random) const;

    [[nodiscard]] bool takeProbe(core::Timestamp now); //!< Count a probe, if the budget allows one
    [[nodiscard]] bool mayProbe() const;               //!< Servers tell their load at a known path

    ////////////////////////////////////////////////////////////
    /// \brief A request for the service came
    ///
    /// \param timeLeft That its caller says it has; null when it does not say
    ///
    /// \return For how long its caller has been trying; 0 when that cannot be told
    ////////////////////////////////////////////////////////////
    core::Duration arrived(const deployment::HostRoute& route, std::optional<core::Duration> timeLeft,
                           core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief A node of the fleet saw an instance fail a request; what is of another service is passed over
    ///
    /// \return The instance, if this makes it a suspect; null otherwise
    ////////////////////////////////////////////////////////////
    std::shared_ptr<const deployment::Instance> failedElsewhere(const deployment::ServerFailure& failure,
                                                                core::Timestamp                  now);

    ////////////////////////////////////////////////////////////
    /// \brief An instance said which requests it still wants; what an earlier life of it said is passed over
    ///
    /// \param spread See `NoticeState::hear`
    ///
    /// \return What of it is new
    ////////////////////////////////////////////////////////////
    ServerNotice noticed(const deployment::Instance& instance, const ServerNotice& notice, double spread,
                         core::Timestamp now);

    void letIn(unsigned rank, core::Timestamp now);      //!< What could be in time was sent
    void turnedAway(unsigned rank, core::Timestamp now); //!< What could be in time was refused for load

    ////////////////////////////////////////////////////////////
    /// \brief Whether what could be in time, of a rank or a more urgent one, was turned away lately
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool pressed(unsigned rank, core::Timestamp now) const;

    [[nodiscard]] bool highlyPressed(unsigned rank, core::Timestamp now) const; //!< Many of these were

    [[nodiscard]] const std::unordered_map<std::string, RouteSeen>& routes() const; //!< That sent requests, by name

    ////////////////////////////////////////////////////////////
    /// \brief Estimated milliseconds until a server would have answered a request of a route sent now
    ////////////////////////////////////////////////////////////
    [[nodiscard]] double finishMs(const ServerView& server, std::string_view route, core::Timestamp now) const;

    [[nodiscard]] bool full(const ServerView& server, core::Timestamp now) const; //!< One more would slow it as a whole

    void                 noteFound(bool good); //!< A probe found a server that is, or is not, good
    [[nodiscard]] double goodShare() const;    //!< Of the servers that probes found of late
    void                 learnNoLoad();        //!< An answer carried no load report

    ////////////////////////////////////////////////////////////
    /// \brief Learn from a load report
    ///
    /// \param others Requests of other nodes at the instance; null when it cannot be told
    ////////////////////////////////////////////////////////////
    void learnLoad(double pace, std::optional<double> others);

    [[nodiscard]] UsualWork&         work();                                //!< What is usual at its instances
    [[nodiscard]] const UsualWork&   work() const;                          //!< What is usual at its instances
    [[nodiscard]] RetryWindow&       retries();                             //!< Budget
    [[nodiscard]] const std::string& name() const;                          //!< Of the service
    [[nodiscard]] const std::string& healthPath() const;                    //!< What a probe asks for
    [[nodiscard]] std::size_t        size() const;                          //!< Instances that take requests
    [[nodiscard]] std::size_t        evacuated() const;                     //!< Instances in evacuated data centres
    void                             limited();                             //!< An instance has named a limit
    [[nodiscard]] bool               anyLimited(core::Timestamp now) const; //!< Some instance takes only so much
    [[nodiscard]] Shortage shortage(core::Timestamp now) const; //!< Why none of its instances may be given a request

    ////////////////////////////////////////////////////////////
    /// \brief Time until the first of the instances that asked for a back-off may be given a request
    ////////////////////////////////////////////////////////////
    [[nodiscard]] core::Duration shortestBackOff(core::Timestamp now) const;
    [[nodiscard]] std::shared_ptr<ServerView>
                           find(std::uint32_t life) const; //!< By `instanceHash`; null when there is none
    [[nodiscard]] unsigned moreUrgent(unsigned rank, core::Timestamp now) const; //!< Ranks that sent requests of late
    [[nodiscard]] double   openness(core::Timestamp now) const; //!< Chance to be let to the most open limited instance

    void addLimits(std::vector<LimitState>& all, core::Timestamp now) const;         //!< Add those of limited instances
    void addNotices(std::vector<NoticeInForce>& all, core::Timestamp now) const;     //!< Add those that hold
    [[nodiscard]] std::shared_ptr<ServerView> find(std::string_view instance) const; //!< Null when there is none

private:
    [[nodiscard]] static Shortage shortageOf(const ServerView& server, core::Timestamp now);
    [[nodiscard]] bool            mayAvoidOneMore(core::Timestamp now) const; //!< Few enough servers are suspects

    using Ranking = std::vector<std::pair<double, std::shared_ptr<ServerView>>>; //!< By cost

    /// \brief Let a server that joined and was never heard of take the last place among the first now and then
    void                 placeNewcomer(Ranking& ranked, const Wish& wish, std::size_t most, core::Timestamp now,
                                       core::Random& random) const;
    [[nodiscard]] bool   mayBeGiven(const ServerView& server, const Wish& wish, core::Timestamp now) const;
    [[nodiscard]] bool   mayBeAsked(const ServerView& server, const Wish& wish, core::Timestamp now) const;
    [[nodiscard]] bool   bears(const ServerView& server, core::Timestamp now) const;
    [[nodiscard]] bool   takes(const ServerView& server, const Wish& wish, core::Timestamp now) const;
    [[nodiscard]] bool   hasRoomFor(const ServerView& server, const Wish& wish) const;
    /// \brief Whether the instance still wants requests; with `leavers`, also for a while after it said that it leaves
    [[nodiscard]] bool   wantsRequests(const ServerView& server, bool leavers, core::Timestamp now) const;
    [[nodiscard]] Choice chooseAmong(const Wish& wish, bool leavers, core::Timestamp now, core::Random& random) const;
    void remember(const std::shared_ptr<ServerView>& server); //!< Keep its notices for its entry's return
    void add(deployment::Instance instance, bool joins, core::Timestamp now, const std::set<std::string>& evacuated);
    [[nodiscard]] static bool toldWithin(const ServerView& server, core::Duration age, core::Timestamp now);
    [[nodiscard]] bool        near(const ServerView& server) const;
    [[nodiscard]] double      cost(const ServerView& server, const Wish& wish, double work, core::Timestamp now) const;

    std::string                                                    m_name;     //!< Of the service
    const Settings&                                                m_settings; //!< Constants
    std::unordered_map<std::string, std::shared_ptr<ServerView>>   m_byId;     //!< The same by id
    std::unordered_map<std::uint32_t, std::shared_ptr<ServerView>> m_byHash;   //!< By short hash of their ids
    std::deque<std::shared_ptr<ServerView>>    m_removed;       //!< Whose notices still hold if their entries come back
    double                                     m_witnesses{0};  //!< Decaying count of failures that nodes saw
    core::Timestamp                            m_witnessesAt{}; //!< It is as of then
    std::vector<std::shared_ptr<ServerView>>   m_servers;       //!< Those that take requests
    ServerSubset                               m_own;           //!< Of these, where this node looks first
    RetryWindow                                m_retries;       //!< Budget
    std::string                                m_healthPath;    //!< What a probe asks for
    bool                                       m_tellsLoad{false};      //!< Some answer carried a load report
    unsigned                                   m_answersWithoutLoad{0}; //!< Before the first one that did
    unsigned                                   m_nodes{1};              //!< That share the budget for probes
    unsigned                                   m_connections{0};        //!< Most own connections to one instance
    ProbeBudget                                m_probes;                //!< Of this node
    UsualWork                                  m_work;                  //!< What is usual at its instances
    std::map<unsigned, Pressure>               m_pressure;              //!< How short of room it is for each rank
    std::unordered_map<std::string, RouteSeen> m_routes;                //!< Those that sent requests, by name
    mutable WarmUpLimit                        m_warmUpLimit; //!< Who may send to cold instances; it remembers ranks
    mutable bool          m_mayBeLimited{false}; //!< Some instance is limited; it is found out again as long as one is
    core::Duration        m_warmUp{};            //!< How long an instance is cold
    double                m_goodShare{0.5};      //!< Of the servers that probes found of late
    mutable std::uint64_t m_looked{0};           //!< Servers looked at in searches
    std::size_t           m_evacuated{0};        //!< Instances in evacuated data centres
    std::set<std::string> m_evacuatedCentres;    //!< These data centres
};

} // namespace sailpath::balance
