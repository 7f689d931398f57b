#include <sailpath/node/Refusal.hpp>

#include <array>

namespace sailpath::node
{
////////////////////////////////////////////////////////////
std::string_view toString(RefusalReason reason)
{
    static constexpr std::array<std::string_view, 13> names{
        "not-configured",  "unknown-service", "no-server",         "queue-full", "wait-too-long",
        "workspace-share", "deadline-passed", "server-shed",       "not-sent",   "outcome-unknown",
        "caller-gone",     "duplicate",       "claims-unavailable"};
    return names.at(static_cast<std::size_t>(reason));
}

////////////////////////////////////////////////////////////
std::string_view toString(retries::Ran ran)
{
    static constexpr std::array<std::string_view, 3> names{"ran", "not-run", "unknown"};
    return names.at(static_cast<std::size_t>(ran));
}

} // namespace sailpath::node
