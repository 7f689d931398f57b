#pragma once

#include <sailpath/adapters/http/BackendClient.hpp>
#include <sailpath/adapters/http/CallerRequest.hpp>
#include <sailpath/node/Outcome.hpp>
#include <sailpath/node/Step.hpp>

#include <string>
#include <vector>

namespace sailpath::entry::priv
{
////////////////////////////////////////////////////////////
/// \brief One attempt at a server: sends the request, judges the answer, passes it on or keeps it back
///
/// A good answer streams straight to the caller. An answer that may lead to
/// a retry is kept back until the dispatcher has decided.
////////////////////////////////////////////////////////////
class Attempt
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Prepare an attempt
    ///
    /// \param caller  The caller's request
    /// \param request What to send
    /// \param id      Request id, put on the answer
    ////////////////////////////////////////////////////////////
    Attempt(adapters::http::CallerRequest& caller, const adapters::http::ServerRequest& request, const std::string& id);

    ////////////////////////////////////////////////////////////
    /// \brief Carry it out
    ////////////////////////////////////////////////////////////
    [[nodiscard]] node::Outcome run(adapters::http::BackendClient& client, const node::Target& target);

    ////////////////////////////////////////////////////////////
    /// \brief Pass on an answer that was kept back, if there is one
    ////////////////////////////////////////////////////////////
    void passOn();

    [[nodiscard]] int status() const; //!< Status of the answer; 0 when there is none

private:
    [[nodiscard]] bool          takeHead(const adapters::http::AnswerHead& head);
    [[nodiscard]] bool          takeBody(std::string_view data);
    void                        readSignals(const adapters::http::AnswerHead& head);
    [[nodiscard]] node::Outcome judge(adapters::http::ExchangeEnd end);

    adapters::http::CallerRequest&       m_caller;          //!< The caller's request
    const adapters::http::ServerRequest& m_request;         //!< What is sent
    const std::string&                   m_id;              //!< Request id
    node::Outcome                        m_outcome;         //!< What is known so far
    adapters::http::AnswerHead           m_head;            //!< Head of the answer
    std::string                          m_kept;            //!< Body kept back
    bool                                 m_keepBack{false}; //!< The answer waits for a decision
    bool                                 m_failure{false};  //!< The status tells of a failure
    bool                                 m_shed{false};     //!< The server did not run the request
    int                                  m_status{0};       //!< Status of the answer
};

} // namespace sailpath::entry::priv
