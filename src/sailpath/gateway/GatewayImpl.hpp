#pragma once

#include "BodyMemory.hpp"
#include "CallerConnection.hpp"
#include "CallerEvents.hpp"
#include "Exchange.hpp"
#include "ServerConnections.hpp"
#include "StatusServer.hpp"
#include "TunnelServer.hpp"
#include "UnknownFieldDetector.hpp"

#include <sailpath/gateway/Gateway.hpp>
#include <sailpath/metrics/StageTimes.hpp>
#include <sailpath/metrics/TrafficMetrics.hpp>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <map>
#include <set>
#include <string>
#include <unordered_map>

namespace sailpath::gateway
{
////////////////////////////////////////////////////////////
/// \brief Implementation of the gateway: connections, and the steps that the balancer decides on
////////////////////////////////////////////////////////////
struct Gateway::Impl : public priv::CallerEvents
{
    Impl(asio::io_context& loop, GatewaySettings initialSettings, const Dialect& headerDialect,
         ports::EventLog& events);

    void accept();
    void addCaller(asio::ip::tcp::socket socket);          //!< Close the connection when there is no room for it
    void retryAccept(const std::string& reason);           //!< Free descriptors and accept again after a delay
    bool closeLongestIdleCaller();                         //!< Return false when no caller is idle
    [[nodiscard]] std::size_t countSendingCallers() const; //!< Callers that have not got all bytes of an answer
    void                      scheduleSweep(); //!< Close connections that exceed their times, at a fixed interval
    void                      detectStall();   //!< Detect a pause of the event loop, such as a suspended VM
    void                      armDueTimer();   //!< Set the timer for the next time at which the balancer has to act
    void                      logBalancerChanges(); //!< Log what the balancer concluded about servers and requests
    void                      logLimit(const balance::LimitChange& change);
    void                      logNotice(const balance::NoticeChange& change);
    void recordNotice(const std::shared_ptr<const deployment::Instance>& instance, const balance::ServerNotice& notice,
                      balance::NoticeSource source); //!< Process a server's notice to leave or back off
    void recordRefusal(priv::Exchange& exchange, const balance::Refusal& refusal); //!< Count and log Retry-After
    /// \brief Count a request refused for lack of room, and log why
    void recordRoomRefusal(priv::Exchange& exchange, const balance::Refusal& refusal);
    void recordQuotaRefusal(priv::Exchange& exchange); //!< Add the state of the exceeded quota to the log line
    void updateFleetContact(); //!< Tell the balancer the time of the last contact with other nodes
    [[nodiscard]] std::string_view keyOf(const http::Head& head) const; //!< Empty when absent or ambiguous
    [[nodiscard]] std::string      admissionMetrics() const;            //!< Load and admission of each service
    [[nodiscard]] std::string      workMetrics() const; //!< Learned processing time of each route and its age
    void addQuotaMetrics(std::string& text) const;      //!< Append the sums over all quotas to the metrics
    [[nodiscard]] std::string quotaList() const;        //!< Page with one line per workspace that has a quota
    void logUnknownFields(const deployment::Instance& instance, const http::Head& head); //!< Log uninterpreted fields
    void performPendingSteps(); //!< Perform all steps of the balancer and publish its news
    void performStep(const balance::Step& step);
    void forward(const balance::Step& step);
    void probe(const balance::Step& step);
    void check(const balance::Step& step); //!< Test whether an instance accepts connections
    void attemptEnded(balance::Ticket ticket, unsigned attempt, balance::Outcome outcome, priv::ServerAnswer answer);
    void countConnectFailure(balance::ConnectFailure failure);
    void finish(balance::Ticket ticket, const balance::Step& step);
    void log(priv::Exchange& exchange);                     //!< Log and measure an exchange that has ended
    void recordQuarantineRefusal(priv::Exchange& exchange); //!< Count the refusal and log its quarantine
    [[nodiscard]] std::string metrics();                    //!< Page with metrics
    [[nodiscard]] std::string quarantineList() const;       //!< Page with one line per quarantine
    [[nodiscard]] std::string limitList() const;            //!< Page with one line per limited server
    [[nodiscard]] std::string pathList();                   //!< Page with one line per server whose direct path failed
    [[nodiscard]] std::string pathMetrics();                //!< Paths lost, and tunnels of this node and for others
    void                      logPathChanges();   //!< Log lost and regained paths, and drop what they made us conclude
    [[nodiscard]] std::string noticeList() const; //!< Page with one line per server that leaves or asked to back off

    [[nodiscard]] balance::Ticket newTicket() override;
    [[nodiscard]] core::Timestamp earliestArrival() override;
    void requestRead(priv::CallerConnection& caller, balance::Ticket ticket, priv::CallerRequest request) override;
    void answerStarted(balance::Ticket ticket) override;
    void callerLeft(balance::Ticket ticket) override;
    void answerCut(const priv::CallerConnection& caller, std::size_t bytes, std::string_view reason) override;
    void connectionClosed(priv::CallerConnection& caller) override;
    void refusedUnread(const http::Head* head, unsigned status, std::string_view reason) override;
    [[nodiscard]] std::string workspaceOf(const http::Head& head) const override;
    [[nodiscard]] bool        isRepeatable(const http::Head& head) const override;
    [[nodiscard]] bool        mayStillAnswer(const http::Head& head, core::Timestamp firstByteAt) const override;
    [[nodiscard]] const deployment::CallerLimits& limits() const override;
    [[nodiscard]] bool                            configured() const override;
    [[nodiscard]] bool                            closesConnections() const override;
    [[nodiscard]] bool                            takesFurtherRequests() const override;

    asio::io_context&                                 context;
    GatewaySettings                                   settings;
    const Dialect&                                    dialect;
    ports::EventLog&                                  events;
    balance::Balancer                                 balancer;
    priv::ServerConnections                           servers;
    priv::TunnelServer                                tunnels; //!< For other nodes
    asio::ip::tcp::acceptor                           acceptor;
    asio::ip::tcp::endpoint                           acceptedPeer; //!< Remote address of the connection accepted last
    asio::steady_timer                                acceptTimer;
    asio::steady_timer                                dueTimer;
    asio::steady_timer                                sweepTimer;
    std::optional<core::Timestamp>                    dueTimerExpiry; //!< Null when the due timer is not set
    std::set<std::shared_ptr<priv::CallerConnection>> callers;
    std::unordered_map<balance::Ticket, priv::Exchange> exchanges;
    LoopProgress                                        progress; //!< Of the event loop
    deployment::CallerLimits                            callerLimits;
    Counters                                            counters;
    std::map<std::string, std::uint64_t> noRoom; //!< Requests refused for lack of room, by workspace or route; bounded
    balance::Ticket                      nextTicket{1};
    std::shared_ptr<priv::BodyMemory>    bodies;                            //!< Memory budget of request bodies
    std::shared_ptr<priv::BodyMemory>    answerBodies;                      //!< Memory budget of answers, by service
    std::uint64_t                        version{0};                        //!< Version of the configuration in force
    core::Timestamp                      lastRunAt{core::Timestamp::max()}; //!< Time of the last run of the loop
    core::Timestamp                      stalledSince{}; //!< Time of the last run before the latest stall
    core::Timestamp              catchUpUntil{};    //!< Bytes read before this time may have arrived during the stall
    bool                         ready{false};      //!< Routes and servers have been configured
    bool                         isDraining{false}; //!< A planned stop has begun
    bool                         isClosing{false};  //!< A planned stop closes idle connections
    bool                         performingSteps{false}; //!< Guards against reentry of `performPendingSteps`
    metrics::TrafficMetrics      trafficMetrics;
    metrics::StageTimes          stageTimes;
    priv::UnknownFieldDetector   unknownFieldDetector;
    std::function<std::string()> additionalMetrics;
    std::function<std::optional<core::Timestamp>()>           confirmedAtSource;
    std::function<std::optional<core::Timestamp>()>           fleetContactSource;
    std::function<void(std::vector<std::uint32_t>)>           failuresHandler;
    std::function<void(deployment::CrashReport)>              crashesHandler;
    std::function<void(deployment::Quarantine)>               quarantineHandler;
    std::function<void(std::vector<deployment::LimitReport>)> limitsHandler;
    priv::StatusServer                                        readinessServer;
    std::optional<priv::StatusServer>                         metricsServer;
};

} // namespace sailpath::gateway
