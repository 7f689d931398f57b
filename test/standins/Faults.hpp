#pragma once

#include <chrono>
#include <mutex>
#include <string>

namespace sailpath::standins
{
////////////////////////////////////////////////////////////
/// \brief Faults that a stand-in shows on command
////////////////////////////////////////////////////////////
struct FaultState
{
    std::chrono::milliseconds delay{0};       //!< Added to each answer
    bool                      outage{false};  //!< Refuses every call
    int                       dropAnswers{0}; //!< So many answers are lost after the call took effect
};

////////////////////////////////////////////////////////////
/// \brief The faults in force
///
/// Thread-safe.
////////////////////////////////////////////////////////////
class Faults
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief The faults that concern a call that begins now; takes one lost answer
    ////////////////////////////////////////////////////////////
    [[nodiscard]] FaultState forCall()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        FaultState                        state = m_state;
        if (m_state.dropAnswers > 0)
            --m_state.dropAnswers;
        return state;
    }

    ////////////////////////////////////////////////////////////
    /// \brief Change the faults
    ////////////////////////////////////////////////////////////
    void set(const FaultState& state)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_state = state;
    }

private:
    std::mutex m_mutex; //!< Guards the state
    FaultState m_state; //!< In force
};

} // namespace sailpath::standins
