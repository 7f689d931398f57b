#pragma once

#include "BodyMemory.hpp"
#include "CallerConnection.hpp"
#include "CallerEvents.hpp"
#include "Exchange.hpp"
#include "FieldWatch.hpp"
#include "ServerConnections.hpp"
#include "StatusServer.hpp"

#include <sailpath/gateway/Gateway.hpp>
#include <sailpath/metrics/StageTimes.hpp>
#include <sailpath/metrics/TrafficMetrics.hpp>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <set>
#include <unordered_map>

namespace sailpath::gateway
{
////////////////////////////////////////////////////////////
/// \brief Connections and decisions of the gateway
////////////////////////////////////////////////////////////
struct Gateway::Impl : public priv::CallerEvents
{
    Impl(asio::io_context& loop, GatewaySettings given, const Dialect& names, ports::EventLog& events);

    void accept();
    void admitCaller(asio::ip::tcp::socket socket);
    void acceptAgain(const std::string& why);
    bool closeLongestResting(); //!< False when no caller rests
    void scheduleSweep();
    void noteRun(); //!< The loop runs; it may have stood still, with the VM or alone
    void arm();
    void logBeliefs(); //!< What changed of what is believed of servers
    void logLimit(const balance::LimitChange& change);
    void logNotice(const balance::NoticeChange& change);
    void noticed(const std::shared_ptr<const deployment::Instance>& instance, const balance::ServerNotice& notice,
                 balance::NoticeSource source); //!< An answer says which requests its server wants
    void noteQuota(priv::Exchange& exchange);   //!< What it is refused by, for the log
    void noteContact();                         //!< When other nodes could be heard
    [[nodiscard]] std::string_view keyOf(const http::Head& head) const; //!< Empty without one, or with several
    [[nodiscard]] std::string      quotaList() const; //!< A line for each workspace that has one, for operators
    void noteFields(const deployment::Instance& instance, const http::Head& head); //!< Those that nobody here reads
    void carryOut();
    void perform(const balance::Step& step);
    void forward(const balance::Step& step);
    void probe(const balance::Step& step);
    void check(const balance::Step& step); //!< Whether an instance still takes connections
    void attemptEnded(balance::Ticket ticket, unsigned attempt, balance::Outcome outcome, priv::ServerAnswer answer);
    void finish(balance::Ticket ticket, const balance::Step& step);
    void log(priv::Exchange& exchange);
    void noteQuarantine(priv::Exchange& exchange); //!< The belief by which it is refused, for the log
    [[nodiscard]] std::string metrics() const;
    [[nodiscard]] std::string quarantineList() const; //!< A line each, for operators
    [[nodiscard]] std::string limitList() const;      //!< A line for each limited server, for operators
    [[nodiscard]] std::string noticeList() const; //!< A line for each server that leaves or backs off, for operators

    [[nodiscard]] balance::Ticket newTicket() override;
    [[nodiscard]] core::Timestamp earliestArrival() override;
    void requestRead(priv::CallerConnection& caller, balance::Ticket ticket, priv::CallerRequest request) override;
    void answerLeaves(balance::Ticket ticket) override;
    void callerLeft(balance::Ticket ticket) override;
    void callerGone(priv::CallerConnection& caller) override;
    void refusedUnread(const http::Head* head, unsigned status, std::string_view reason) override;
    [[nodiscard]] std::string                     workspaceOf(const http::Head& head) const override;
    [[nodiscard]] bool                            mayRepeat(const http::Head& head) const override;
    [[nodiscard]] const deployment::CallerLimits& limits() const override;
    [[nodiscard]] bool                            configured() const override;
    [[nodiscard]] bool                            leaving() const override;

    asio::io_context&                                   context;
    GatewaySettings                                     settings;
    const Dialect&                                      dialect;
    ports::EventLog&                                    events;
    balance::Balancer                                   balancer;
    priv::ServerConnections                             servers;
    asio::ip::tcp::acceptor                             acceptor;
    asio::ip::tcp::endpoint                             peer; // Of the connection accepted last
    asio::steady_timer                                  acceptTimer;
    asio::steady_timer                                  dueTimer;
    asio::steady_timer                                  sweepTimer;
    std::optional<core::Timestamp>                      armed;
    std::set<std::shared_ptr<priv::CallerConnection>>   callers;
    std::unordered_map<balance::Ticket, priv::Exchange> exchanges;
    deployment::CallerLimits                            callerLimits;
    Counters                                            counters;
    balance::Ticket                                     nextTicket{1};
    std::shared_ptr<priv::BodyMemory>                   bodies;
    std::uint64_t                                       version{0};
    core::Timestamp                                     ranAt{core::Timestamp::max()}; // When the loop ran last
    core::Timestamp                                     stoodSince{}; // When it ran last before it stood still
    core::Timestamp              caughtUpAt{}; // What is read until then may have come while it stood still
    bool                         ready{false};
    bool                         isLeaving{false};
    bool                         carrying{false};
    metrics::TrafficMetrics      latencies;
    metrics::StageTimes          stages;
    priv::FieldWatch             fieldWatch;
    std::function<std::string()> furtherMetrics;
    std::function<std::optional<core::Timestamp>()>           provedAt;
    std::function<std::optional<core::Timestamp>()>           heardFleet;
    std::function<void(std::vector<std::uint32_t>)>           failed;
    std::function<void(deployment::CrashReport)>              crashed;
    std::function<void(deployment::Quarantine)>               quarantined;
    std::function<void(std::vector<deployment::LimitReport>)> limited;
    priv::StatusServer                                        readiness;
    std::optional<priv::StatusServer>                         metricsPage;
};

} // namespace sailpath::gateway
