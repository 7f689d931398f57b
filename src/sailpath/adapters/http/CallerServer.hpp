#pragma once

#include "CallerStream.hpp"

#include <sailpath/adapters/http/CallerRequest.hpp>

#include <httplib.h>

#include <atomic>
#include <string>

namespace sailpath::adapters::http::priv
{
////////////////////////////////////////////////////////////
/// \brief The library's request parser and body reader, one for each worker thread
////////////////////////////////////////////////////////////
class CallerServer : public httplib::Server
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Create a server
    ///
    /// \param handler  Serves the requests
    /// \param mostBody Largest body in bytes
    ////////////////////////////////////////////////////////////
    CallerServer(RequestHandler& handler, std::size_t mostBody);

    ////////////////////////////////////////////////////////////
    /// \brief Serve one request
    ///
    /// \param stream       The connection, at the start of the request
    /// \param head         The request's head, checked before
    /// \param address      The caller's IP number
    /// \param answer       Takes the answer
    /// \param cancellation Set when the caller hangs up
    /// \param bodyRead     Receives whether nothing of the body is left unread
    ////////////////////////////////////////////////////////////
    void serveOne(CallerStream& stream, const RequestHead& head, const std::string& address, AnswerWriter& answer,
                  Cancellation& cancellation, std::atomic<bool>& bodyRead);

private:
    struct Serving
    {
        const RequestHead* head{nullptr};         //!< Request being served
        const std::string* address{nullptr};      //!< Its caller
        AnswerWriter*      answer{nullptr};       //!< Takes its answer
        Cancellation*      cancellation{nullptr}; //!< Its cancellation
        std::atomic<bool>* bodyRead{nullptr};     //!< Whether its body was read
    };

    void handle(const BodySource& body);

    RequestHandler& m_handler; //!< Serves the requests
    Serving         m_serving; //!< Request being served
};

} // namespace sailpath::adapters::http::priv
