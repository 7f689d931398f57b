#pragma once

#include <sailpath/adapters/http/AnswerWriter.hpp>
#include <sailpath/adapters/http/BackendClient.hpp>
#include <sailpath/adapters/http/Cancellation.hpp>
#include <sailpath/adapters/http/RequestHead.hpp>

#include <string>

namespace sailpath::adapters::http
{
////////////////////////////////////////////////////////////
/// \brief Request of a caller while it is being served
////////////////////////////////////////////////////////////
struct CallerRequest
{
    const RequestHead& head;         //!< Validated head of the request
    const std::string& address;      //!< IP address of the caller
    const BodySource&  body;         //!< Reads the body; can be called once only
    AnswerWriter&      answer;       //!< Writes the answer
    Cancellation&      cancellation; //!< Cancelled when the caller disconnects
};

////////////////////////////////////////////////////////////
/// \brief Port that serves requests of callers; called by many threads at once
////////////////////////////////////////////////////////////
class RequestHandler
{
public:
    virtual ~RequestHandler() = default;

    ////////////////////////////////////////////////////////////
    /// \brief Serve one request; the answer must be complete or aborted on return
    ////////////////////////////////////////////////////////////
    virtual void serve(CallerRequest& request) = 0;
};

} // namespace sailpath::adapters::http
