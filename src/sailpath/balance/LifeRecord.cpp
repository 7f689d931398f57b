#include <sailpath/balance/LifeRecord.hpp>

namespace sailpath::balance
{
////////////////////////////////////////////////////////////
bool LifeRecord::empty(core::Timestamp now) const
{
    return notices.empty() && (!limit || limit->hasEnded(now)) && coldUntil <= now;
}

} // namespace sailpath::balance
