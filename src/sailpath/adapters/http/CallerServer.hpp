#pragma once

#include "CallerStream.hpp"

#include <sailpath/adapters/http/CallerRequest.hpp>

#include <httplib.h>

#include <atomic>
#include <string>

namespace sailpath::adapters::http::priv
{
////////////////////////////////////////////////////////////
/// \brief Parses requests and reads their bodies with httplib; each instance serves one request at a time
////////////////////////////////////////////////////////////
class CallerServer : public httplib::Server
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Create a server that passes requests to a handler
    ///
    /// \param handler      Serves the requests
    /// \param maxBodyBytes Largest request body
    ////////////////////////////////////////////////////////////
    CallerServer(RequestHandler& handler, std::size_t maxBodyBytes);

    ////////////////////////////////////////////////////////////
    /// \brief Serve one request
    ///
    /// \param stream       Connection, positioned at the start of the request
    /// \param head         Validated head of the request
    /// \param address      IP address of the caller
    /// \param answer       Writes the answer
    /// \param cancellation Cancelled when the caller disconnects
    /// \param bodyRead     Set to whether the body has been read completely
    ////////////////////////////////////////////////////////////
    void serveOne(CallerStream& stream, const RequestHead& head, const std::string& address, AnswerWriter& answer,
                  Cancellation& cancellation, std::atomic<bool>& bodyRead);

private:
    struct CurrentRequest
    {
        const RequestHead* head{nullptr};         //!< Head of the request
        const std::string* address{nullptr};      //!< IP address of the caller
        AnswerWriter*      answer{nullptr};       //!< Writes the answer
        Cancellation*      cancellation{nullptr}; //!< Cancelled when the caller disconnects
        std::atomic<bool>* bodyRead{nullptr};     //!< Whether the body has been read completely
    };

    void handle(const BodySource& body);

    RequestHandler& m_handler; //!< Serves the requests
    CurrentRequest  m_current; //!< Request being served; empty between requests
};

} // namespace sailpath::adapters::http::priv
