#pragma once

#include <sailpath/core/Random.hpp>
#include <sailpath/routing/Candidate.hpp>

#include <cstddef>
#include <memory>
#include <optional>
#include <span>
#include <string_view>

namespace sailpath::routing
{
////////////////////////////////////////////////////////////
/// \brief Strategy that chooses the candidate that receives a request
////////////////////////////////////////////////////////////
class ServerChoice
{
public:
    virtual ~ServerChoice() = default;

    ////////////////////////////////////////////////////////////
    /// \brief Choose one candidate
    ///
    /// \param candidates Servers that may be chosen; at least one
    /// \param random     Source of randomness
    ///
    /// \return Position within `candidates`
    ////////////////////////////////////////////////////////////
    [[nodiscard]] virtual std::size_t choose(std::span<const Candidate> candidates, core::Random& random) = 0;
};

////////////////////////////////////////////////////////////
/// \brief Create a strategy by name
///
/// \param name `estimated-finish` (the default), `random`, `round-robin`,
///             `least-own`, `two-own` or `two-reported` (baselines)
///
/// \return Null when no strategy has this name
////////////////////////////////////////////////////////////
[[nodiscard]] std::unique_ptr<ServerChoice> makeServerChoice(std::string_view name);

} // namespace sailpath::routing
