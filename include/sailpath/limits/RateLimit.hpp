#pragma once

#include <sailpath/core/StringMap.hpp>
#include <sailpath/core/Time.hpp>

#include <string_view>

namespace sailpath::limits
{
////////////////////////////////////////////////////////////
/// \brief Bounds how often each of many may do something
////////////////////////////////////////////////////////////
class RateLimit
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Create
    ///
    /// \param perSecond Rate allowed to each
    /// \param burst     Number allowed at once
    ////////////////////////////////////////////////////////////
    RateLimit(double perSecond, double burst);

    ////////////////////////////////////////////////////////////
    /// \brief Count one use
    ///
    /// \return Whether it is allowed
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool allow(std::string_view who, core::Timestamp now);

private:
    struct Saved
    {
        double          uses; //!< Uses allowed at `at`
        core::Timestamp at;   //!< Time of the last use
    };

    void forgetIdle(core::Timestamp now);

    double                 m_perSecond;    //!< Rate
    double                 m_burst;        //!< Number at once
    core::StringMap<Saved> m_saved;        //!< By name
    core::Timestamp        m_nextForget{}; //!< Next clearing of names that are idle
};

} // namespace sailpath::limits
