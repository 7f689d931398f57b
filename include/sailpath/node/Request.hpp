#pragma once

#include <sailpath/core/Time.hpp>

#include <optional>
#include <string_view>

namespace sailpath::node
{
////////////////////////////////////////////////////////////
/// \brief A caller's request, as far as decisions need it
////////////////////////////////////////////////////////////
struct Request
{
    std::string_view              host;     //!< Host header
    std::string_view              method;   //!< HTTP method
    std::string_view              path;     //!< Path without the query
    std::optional<core::Duration> timeLeft; //!< Time the caller still waits, when it says so
};

} // namespace sailpath::node
