#pragma once

#include <sailpath/core/Time.hpp>
#include <sailpath/http/Head.hpp>

#include <string>
#include <string_view>

namespace sailpath::gateway::priv
{
////////////////////////////////////////////////////////////
/// \brief An answer in the node's own name
////////////////////////////////////////////////////////////
struct LocalAnswer
{
    unsigned         status{503};  //!< Status
    std::string_view reason;       //!< Why, for the body
    core::Duration   retryAfter{}; //!< `Retry-After`; 0 for none
};

////////////////////////////////////////////////////////////
/// \brief An answer as it is written to a caller
///
/// The head lacks its end: whether the connection closes with the answer
/// is known only when its turn comes.
////////////////////////////////////////////////////////////
struct CallerAnswer
{
    std::string head; //!< Status and fields
    std::string body; //!< Empty when none is written

    void finishHead(bool close); //!< Its turn has come
};

////////////////////////////////////////////////////////////
/// \brief Pass a server's answer on
///
/// \param headOnly The request asked for the head only
////////////////////////////////////////////////////////////
[[nodiscard]] CallerAnswer makeAnswer(const http::Head& head, std::string body, bool headOnly);

////////////////////////////////////////////////////////////
/// \brief Answer in the node's own name
////////////////////////////////////////////////////////////
[[nodiscard]] CallerAnswer makeAnswer(const LocalAnswer& local, bool headOnly);

} // namespace sailpath::gateway::priv
