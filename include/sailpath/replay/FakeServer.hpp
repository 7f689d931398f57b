#pragma once

#include <sailpath/config/BackendServer.hpp>
#include <sailpath/core/Time.hpp>
#include <sailpath/replay/EventQueue.hpp>
#include <sailpath/replay/Trace.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace sailpath::replay
{
////////////////////////////////////////////////////////////
/// \brief What a fake server says when a request ends there
////////////////////////////////////////////////////////////
struct FakeAnswer
{
    enum class Kind
    {
        Good,    //!< Worked
        Failed,  //!< Answered 500
        Shed,    //!< Refused for load, did not run
        Refused, //!< Refused the connection
        Lost     //!< Went down while it held the request
    };

    Kind     kind{Kind::Good};      //!< How it ended
    unsigned reported{0};           //!< Load report
    bool     draining{false};       //!< Says that it is leaving
    bool     retryForbidden{false}; //!< Says not to retry
};

////////////////////////////////////////////////////////////
/// \brief A server with slots and a queue, in virtual time
///
/// The only model in the replay: work is an amount of time in a slot, and
/// everything else follows from the slots.
////////////////////////////////////////////////////////////
class FakeServer
{
public:
    using Done = std::function<void(const FakeAnswer&)>;

    ////////////////////////////////////////////////////////////
    /// \brief Called while a request is in its slot; calls its argument when the nested work is over
    ////////////////////////////////////////////////////////////
    using Nested = std::function<void(std::function<void(bool failed, bool retryForbidden)>)>;

    ////////////////////////////////////////////////////////////
    /// \brief Create a server that works
    ////////////////////////////////////////////////////////////
    FakeServer(config::BackendServer declaration, EventQueue& events);

    ////////////////////////////////////////////////////////////
    /// \brief A request reaches the server
    ///
    /// \param work   Time that it takes in a slot
    /// \param nested Further work while it holds the slot; may be empty
    /// \param done   Called when it ends
    ////////////////////////////////////////////////////////////
    void arrive(core::Duration work, Nested nested, Done done);

    ////////////////////////////////////////////////////////////
    /// \brief A probe reaches the server; it takes a slot but is no work of callers
    ////////////////////////////////////////////////////////////
    void probe(core::Duration work, Done done);

    ////////////////////////////////////////////////////////////
    /// \brief Change behaviour
    ////////////////////////////////////////////////////////////
    void apply(const ServerEvent& event);

    ////////////////////////////////////////////////////////////
    /// \brief When a request of this work would end if it arrived now; for the bound that sees true state
    ////////////////////////////////////////////////////////////
    [[nodiscard]] core::Timestamp trueFinish(core::Duration work) const;

    [[nodiscard]] bool                         works() const;       //!< Neither down nor rejecting
    [[nodiscard]] const config::BackendServer& declaration() const; //!< As declared
    [[nodiscard]] std::uint64_t afterDrain() const; //!< Requests that came three seconds after it began to leave

private:
    struct Waiting
    {
        core::Duration work;   //!< Time in a slot, by the factor at arrival
        Nested         nested; //!< Further work
        Done           done;   //!< Told at the end
    };

    void                         enter(core::Duration work, Nested nested, Done done);
    void                         start(Waiting request);
    void                         finish(std::uint64_t life, const Done& done, bool failed, bool retryForbidden);
    [[nodiscard]] unsigned       load();
    [[nodiscard]] core::Duration scaled(core::Duration work) const;
    void                         answer(FakeAnswer::Kind kind, const Done& done, bool retryForbidden);

    config::BackendServer                            m_declaration;    //!< As declared
    EventQueue&                                      m_events;         //!< Virtual time
    std::deque<Waiting>                              m_queue;          //!< Wait for a slot
    std::vector<core::Timestamp>                     m_slotEnds;       //!< Expected ends of the work in slots
    unsigned                                         m_working{0};     //!< Slots in use
    std::uint64_t                                    m_life{0};        //!< Rises when it goes down
    double                                           m_slow{1};        //!< Factor of the work
    core::Timestamp                                  m_coldUntil{};    //!< End of the cold start
    double                                           m_cold{1};        //!< Factor at the cold start's begin
    bool                                             m_rejects{false}; //!< Answers 500 at once
    bool                                             m_down{false};    //!< Refuses connections
    bool                                             m_drains{false};  //!< Says that it is leaving
    bool                                             m_lies{false};    //!< Reports no load
    core::Duration                                   m_reportDelay{0}; //!< Reports are this old
    core::Timestamp                                  m_drainSince{};   //!< Start of the drain
    std::uint64_t                                    m_afterDrain{0};  //!< Late requests
    std::deque<std::pair<core::Timestamp, unsigned>> m_history;        //!< Load over time, for old reports
    std::map<std::uint64_t, Done>                    m_held;           //!< Told when it goes down
    std::uint64_t                                    m_nextHeld{0};    //!< Next key
};

} // namespace sailpath::replay
