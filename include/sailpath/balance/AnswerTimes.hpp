#pragma once

#include <sailpath/core/Time.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace sailpath::balance
{
////////////////////////////////////////////////////////////
/// \brief Longest time that recent requests of each route waited for their answers
////////////////////////////////////////////////////////////
class AnswerTimes
{
public:
    void record(std::string_view route, core::Duration took, core::Timestamp now); //!< A request was answered

    /// \brief Return the longest time of the last one to two minutes; null when no request was answered
    [[nodiscard]] std::optional<core::Duration> longest(std::string_view route, core::Timestamp now) const;

    void keepOnly(const std::set<std::string, std::less<>>& routes); //!< Forget all other routes

private:
    /// \brief Longest times of two spans that follow each other
    struct Longest
    {
        core::Timestamp since{};    //!< Start of the current span
        core::Duration  current{};  //!< Longest of the current span
        core::Duration  previous{}; //!< Longest of the span before; 0 for none
    };

    std::map<std::string, Longest, std::less<>> m_routes; //!< By name
};

} // namespace sailpath::balance
