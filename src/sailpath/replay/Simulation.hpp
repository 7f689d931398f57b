#pragma once

#include <sailpath/core/Random.hpp>
#include <sailpath/core/StringMap.hpp>
#include <sailpath/node/Dispatcher.hpp>
#include <sailpath/node/Prober.hpp>
#include <sailpath/replay/EventQueue.hpp>
#include <sailpath/replay/FakeServer.hpp>
#include <sailpath/replay/Replay.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sailpath::replay::priv
{
////////////////////////////////////////////////////////////
/// \brief One replay: the real decision logic of many nodes, fake servers, virtual time
////////////////////////////////////////////////////////////
class Simulation
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Prepare a replay
    ////////////////////////////////////////////////////////////
    Simulation(const Trace& trace, const Variant& variant);

    ////////////////////////////////////////////////////////////
    /// \brief Run it to its end
    ////////////////////////////////////////////////////////////
    [[nodiscard]] Report run();

private:
    ////////////////////////////////////////////////////////////
    /// \brief A request under way
    ////////////////////////////////////////////////////////////
    struct Call
    {
        std::size_t                                           record{0};         //!< Its record in the report
        const LoadPhase*                                      load{nullptr};     //!< Where it comes from, for its chain
        std::size_t                                           depth{0};          //!< Position in the chain
        std::string_view                                      host;              //!< Host header
        std::string_view                                      method;            //!< HTTP method
        std::string_view                                      path;              //!< Path
        core::Duration                                        work{};            //!< Work at the server
        unsigned                                              entry{0};          //!< Node that handles it
        bool                                                  repeatable{false}; //!< May run more than once
        unsigned                                              runs{0};           //!< Times that a server began it
        std::function<void(bool failed, bool retryForbidden)> over;              //!< For nested calls
    };
    using CallPtr = std::shared_ptr<Call>;

    struct Node
    {
        std::unique_ptr<node::Dispatcher> dispatcher;    //!< The real logic
        std::string                       dataCentre;    //!< Where it runs
        bool                              serving{true}; //!< Gets new requests
        core::StringMap<unsigned>         idle;          //!< Idle connections by server
        std::vector<CallPtr>              byTicket;      //!< Requests that the logic holds
        std::uint64_t                     births{0};     //!< Restarts, for its seed
    };

    void startNode(Node& node, unsigned index);
    void scheduleLoads();
    void scheduleNext(const LoadPhase& load, core::Timestamp at);
    void tellNews(unsigned entry);
    void closeConnections(const std::string& server);
    void arrive(const LoadPhase* load, std::size_t depth, std::string_view host, std::string_view method,
                std::string_view path, core::Duration work, std::function<void(bool, bool)> over);
    void act(const CallPtr& call, const node::Step& step);
    void forward(const CallPtr& call, const node::Step& step);
    void answered(const CallPtr& call, node::Ticket ticket, const std::string& server, const FakeAnswer& answer);
    void finish(const CallPtr& call, bool good, bool refused, bool retryForbidden);
    void release(unsigned entry);
    void omniscient(const CallPtr& call);
    [[nodiscard]] FakeServer::Nested nestedOf(const CallPtr& call);
    [[nodiscard]] core::Duration     transit(const Node& node, const FakeServer& server) const;
    [[nodiscard]] core::Duration     workOf(const LoadPhase& load);
    [[nodiscard]] unsigned           pickEntry();
    void                             tickNodes();
    void                             tickProber();
    void                             probeAll();
    void                             probe(unsigned asker, const node::Target& target, bool tellAll);
    void                             scheduleEvents();

    const Trace&                                 m_trace;   //!< What is replayed
    const Variant&                               m_variant; //!< How
    EventQueue                                   m_events;  //!< Virtual time
    core::Random                                 m_random;  //!< For loads; the same for all variants
    core::Random                                 m_network; //!< For everything else
    std::vector<Node>                            m_nodes;   //!< The nodes
    core::StringMap<std::unique_ptr<FakeServer>> m_servers; //!< By name
    core::StringMap<std::vector<FakeServer*>>    m_pools;   //!< By host
    node::ControllerSettings                     m_control; //!< For the prober
    std::optional<node::Prober>                  m_prober;  //!< Budgeted probes
    Report                                       m_report;  //!< What is measured
    core::Timestamp                              m_end{};   //!< Last arrival
};

} // namespace sailpath::replay::priv
