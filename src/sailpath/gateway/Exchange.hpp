#pragma once

#include "CallerConnection.hpp"
#include "ServerConnection.hpp"

#include <sailpath/balance/Step.hpp>

#include <map>
#include <memory>
#include <string>

namespace sailpath::gateway::priv
{
////////////////////////////////////////////////////////////
/// \brief A request under way: what is sent, where it is, what came back
////////////////////////////////////////////////////////////
struct Exchange
{
    std::weak_ptr<CallerConnection>                       caller;          //!< Who asked
    std::string                                           id;              //!< As the caller gave it
    std::string                                           host;            //!< Of a route; empty when there is none
    std::string                                           startLine;       //!< For the server
    std::string                                           fields;          //!< For the server, those that are passed on
    std::string                                           body;            //!< Whole
    bool                                                  headOnly{false}; //!< Its answer has no body
    bool                                                  hasBody{false};  //!< A length is to be told
    core::Timestamp                                       since{};         //!< First byte
    core::Timestamp                                       lastSent{};      //!< Latest send
    unsigned                                              attempts{0};     //!< Sends
    unsigned                                              probes{0};       //!< Servers asked for their load
    std::string                                           trail;           //!< Sends and their ends, for the log
    std::map<unsigned, std::shared_ptr<ServerConnection>> sends;           //!< Under way
    std::map<unsigned, ServerAnswer>                      answers;         //!< By attempt

    ////////////////////////////////////////////////////////////
    /// \brief Take over a caller's request
    ////////////////////////////////////////////////////////////
    void take(const http::Head& head, std::string whole, const Dialect& dialect);

    ////////////////////////////////////////////////////////////
    /// \brief The request as one instance gets it
    ///
    /// \param left Time until the server has to be done
    ////////////////////////////////////////////////////////////
    [[nodiscard]] Send request(const deployment::Instance& instance, core::Duration left, const Dialect& dialect) const;

    void note(const balance::Step& step, core::Timestamp now);                          //!< A send, for the log
    void ended(unsigned attempt, const balance::Outcome& outcome, core::Timestamp now); //!< Its end, for the log
    void noteEstimate(const balance::Refusal& refusal); //!< What a refusal was decided by, for the log
    [[nodiscard]] std::shared_ptr<ServerConnection> releaseSend(unsigned attempt); //!< Forget a send; null if it ended
};

} // namespace sailpath::gateway::priv
