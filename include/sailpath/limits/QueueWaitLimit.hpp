#pragma once

#include <sailpath/core/Time.hpp>

namespace sailpath::limits
{
////////////////////////////////////////////////////////////
/// \brief How long a request may be let in to wait, by how long the queue has stood
///
/// A queue that forms and empties again absorbs a burst and is worth its
/// wait. One that stands adds the same wait to every request and serves
/// none the more, so it is kept short until it has gone (the insight of
/// CoDel: Nichols and Jacobson, ACM Queue 10(5), 2012).
////////////////////////////////////////////////////////////
class QueueWaitLimit
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Note whether the queue is empty
    ////////////////////////////////////////////////////////////
    void observe(bool empty, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Longest wait to let a request in for
    ///
    /// \param configured   Operators' bound
    /// \param usualLatency Usual time from sending to the answer
    /// \param now          Current time
    ////////////////////////////////////////////////////////////
    [[nodiscard]] core::Duration maxWait(core::Duration configured, core::Duration usualLatency,
                                         core::Timestamp now) const;

private:
    static constexpr core::Duration standing = std::chrono::milliseconds{500}; //!< A queue this old stands
    static constexpr core::Duration calm = std::chrono::milliseconds{100};    //!< Without a queue this long it has gone
    static constexpr core::Duration shortest = std::chrono::milliseconds{20}; //!< Never less patient than this

    core::Timestamp m_standsSince{core::Timestamp::max()}; //!< Start of the present queue; none at the maximum
    core::Timestamp m_lastQueue{};                         //!< When there last was one
};

} // namespace sailpath::limits
