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
/// \brief One attempt at a server: sends the request, classifies the answer, and streams or buffers the answer
///
/// A successful answer is streamed to the caller. An answer that may lead to
/// a retry is buffered until the dispatcher has decided.
////////////////////////////////////////////////////////////
class Attempt
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Prepare an attempt
    ///
    /// \param caller  The caller's request
    /// \param request Request to send to the server
    /// \param id      Request id, added to the headers of the answer
    ////////////////////////////////////////////////////////////
    Attempt(adapters::http::CallerRequest& caller, const adapters::http::ServerRequest& request, const std::string& id);

    ////////////////////////////////////////////////////////////
    /// \brief Run the attempt and classify its result
    ////////////////////////////////////////////////////////////
    [[nodiscard]] node::Outcome run(adapters::http::BackendClient& client, const node::Target& target);

    ////////////////////////////////////////////////////////////
    /// \brief Send the buffered answer, if any, to the caller and end the answer
    ////////////////////////////////////////////////////////////
    void forwardAnswer();

    [[nodiscard]] int status() const; //!< HTTP status of the answer; 0 if the server sent none

private:
    [[nodiscard]] bool          receiveHead(const adapters::http::AnswerHead& head);
    [[nodiscard]] bool          receiveBody(std::string_view data);
    void                        readServerHeaders(const adapters::http::AnswerHead& head);
    [[nodiscard]] node::Outcome makeOutcome(adapters::http::ExchangeEnd end);

    adapters::http::CallerRequest&       m_caller;              //!< The caller's request
    const adapters::http::ServerRequest& m_request;             //!< Request to send to the server
    const std::string&                   m_id;                  //!< Request id
    node::Outcome                        m_outcome;             //!< Outcome as far as the answer's headers tell
    adapters::http::AnswerHead           m_head;                //!< Head of the answer to the caller
    std::string                          m_bufferedBody;        //!< Buffered body
    bool                                 m_buffering{false};    //!< Whether the answer is buffered until a decision
    bool                                 m_serverFailed{false}; //!< Whether the status is a server failure
    bool                                 m_shed{false}; //!< Whether the server shed the request without running it
    int                                  m_status{0};   //!< HTTP status of the answer; 0 if none
};

} // namespace sailpath::entry::priv
