#pragma once

#include <sailpath/adapters/http/AnswerWriter.hpp>
#include <sailpath/adapters/http/BackendClient.hpp>
#include <sailpath/adapters/http/Cancellation.hpp>
#include <sailpath/adapters/http/RequestHead.hpp>

#include <string>

namespace sailpath::adapters::http
{
////////////////////////////////////////////////////////////
/// \brief A caller's request while it is being served
////////////////////////////////////////////////////////////
struct CallerRequest
{
    const RequestHead& head;         //!< Checked head
    const std::string& address;      //!< The caller's IP number
    const BodySource&  body;         //!< Reads the body, once
    AnswerWriter&      answer;       //!< Takes the answer
    Cancellation&      cancellation; //!< Set when the caller hangs up
};

////////////////////////////////////////////////////////////
/// \brief Port: what serves callers' requests, on many threads at once
////////////////////////////////////////////////////////////
class RequestHandler
{
public:
    virtual ~RequestHandler() = default;

    ////////////////////////////////////////////////////////////
    /// \brief Serve one request; the answer must be ended or cut on return
    ////////////////////////////////////////////////////////////
    virtual void serve(CallerRequest& request) = 0;
};

} // namespace sailpath::adapters::http
