#pragma once

#include "CallerConnection.hpp"
#include "ServerConnection.hpp"

#include <sailpath/balance/Step.hpp>
#include <sailpath/deployment/RequestIdentity.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace sailpath::gateway::priv
{
////////////////////////////////////////////////////////////
/// \brief How a request ended
////////////////////////////////////////////////////////////
struct Ending
{
    unsigned         status{0}; //!< Of the answer to the caller; 0 for none
    std::string_view reason;    //!< Its name in logs and metrics
    core::Timestamp  at{};      //!< When the answer was known
};

////////////////////////////////////////////////////////////
/// \brief A request under way: what is sent, where it is, what came back
////////////////////////////////////////////////////////////
struct Exchange
{
    std::weak_ptr<CallerConnection>                       caller;          //!< Who asked
    std::string                                           id;              //!< As the caller gave it
    std::string                                           callerAddress;   //!< IP number
    std::string                                           host;            //!< Of a route; empty when there is none
    std::string                                           route;           //!< Its name; empty when there is none
    std::string                                           workspace;       //!< That it is sent for; empty without
    std::string                                           startLine;       //!< For the server
    std::string                                           fields;          //!< For the server, those that are passed on
    std::string                                           body;            //!< Whole
    bool                                                  headOnly{false}; //!< Its answer has no body
    bool                                                  hasBody{false};  //!< A length is to be told
    core::Timestamp                                       since{};         //!< First byte
    std::optional<core::Timestamp>                        decidedAt;       //!< First send, or refusal without one
    std::optional<Ending>                                 ending;          //!< Once its answer is known
    core::Duration                                        trying{};        //!< Before this try, as far as is known
    unsigned                                              attempts{0};     //!< Sends
    unsigned                                              probes{0};       //!< Servers asked for their load
    std::string                                           trail;           //!< Sends and their ends, for the log
    bool                                                  lost{false};     //!< Some send was lost
    std::map<unsigned, std::shared_ptr<ServerConnection>> sends;           //!< Under way
    std::map<unsigned, ServerAnswer>                      answers;         //!< By attempt

    ////////////////////////////////////////////////////////////
    /// \brief Take over a caller's request
    ////////////////////////////////////////////////////////////
    void take(CallerRequest request, const Dialect& dialect);

    ////////////////////////////////////////////////////////////
    /// \brief The request as one instance gets it
    ///
    /// \param left Time until the server has to be done
    ////////////////////////////////////////////////////////////
    [[nodiscard]] OutgoingRequest request(const deployment::Instance& instance, core::Duration left,
                                          const Dialect& dialect) const;

    ////////////////////////////////////////////////////////////
    /// \brief What the request is known by when it comes again
    ///
    /// Computed when it is asked for first: few requests are ever looked for again.
    ////////////////////////////////////////////////////////////
    [[nodiscard]] const deployment::RequestIdentity& identity();

    void note(const balance::Step& step, core::Timestamp now);                          //!< A send, for the log
    void ended(unsigned attempt, const balance::Outcome& outcome, core::Timestamp now); //!< Its end, for the log
    void noteEstimate(const balance::Refusal& refusal); //!< What a refusal was decided by, for the log
    void end(unsigned status, std::string_view reason, core::Timestamp now);       //!< Its answer is known
    [[nodiscard]] std::shared_ptr<ServerConnection> releaseSend(unsigned attempt); //!< Forget a send; null if it ended

private:
    std::optional<deployment::RequestIdentity> m_identity; //!< Once it was asked for
};

} // namespace sailpath::gateway::priv
