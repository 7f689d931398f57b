#pragma once

#include <sailpath/balance/NoticeState.hpp>
#include <sailpath/balance/SharedLimit.hpp>
#include <sailpath/core/Time.hpp>

#include <optional>

namespace sailpath::balance
{
////////////////////////////////////////////////////////////
/// \brief What one life of a server has said of itself
///
/// Belongs to the life and not to its entry: an entry may lapse and return
/// while its server goes on, and answers are heard all the while.
////////////////////////////////////////////////////////////
struct LifeRecord
{
    NoticeState                notices;                //!< Leaving, back-off
    std::optional<SharedLimit> limit;                  //!< Set while a limit is known
    core::Timestamp            coldUntil{};            //!< End of the warm-up
    bool                       coldUnconfirmed{false}; //!< Taken for cold without a statement of the server

    [[nodiscard]] bool empty(core::Timestamp now) const; //!< Nothing that was said has an effect any more
};

} // namespace sailpath::balance
