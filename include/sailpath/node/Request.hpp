#pragma once

#include <sailpath/core/Time.hpp>

#include <optional>
#include <string_view>

namespace sailpath::node
{
////////////////////////////////////////////////////////////
/// \brief Properties of a caller's request that the dispatcher's decisions depend on
////////////////////////////////////////////////////////////
struct Request
{
    std::string_view              host; //!< Value of the Host header
    std::string_view              method;
    std::string_view              path;     //!< Path of the URL without the query
    std::optional<core::Duration> timeLeft; //!< Time until the caller's deadline, if the request states one
};

} // namespace sailpath::node
