#pragma once

#include <sailpath/core/Time.hpp>
#include <sailpath/ports/EventLog.hpp>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace sailpath::adapters::logging
{
////////////////////////////////////////////////////////////
/// \brief Bounds the lines of each kind of event a second, counts and tells what was left out
////////////////////////////////////////////////////////////
class BoundedEventLog : public ports::EventLog
{
public:
    using Clock = core::Timestamp (*)(); //!< Steady time

    ////////////////////////////////////////////////////////////
    /// \brief Wrap a log
    ///
    /// \param inner     Outlives this one
    /// \param perSecond Lines of one kind of event in a second; warnings and errors are always written
    /// \param clock     Steady time
    ////////////////////////////////////////////////////////////
    BoundedEventLog(ports::EventLog& inner, unsigned perSecond, Clock clock);

    [[nodiscard]] bool writes(ports::Level level) const override;

    void write(ports::Level level, std::string_view event, std::initializer_list<ports::Field> fields) override;

    [[nodiscard]] std::uint64_t leftOut() const; //!< Lines left out since the start

private:
    struct Kind
    {
        core::Timestamp since{};    //!< Start of the second
        unsigned        written{0}; //!< Lines in it
        unsigned        leftOut{0}; //!< Lines not written, not told yet
    };

    ports::EventLog&                         m_inner;      //!< Writes
    unsigned                                 m_perSecond;  //!< Bound
    Clock                                    m_clock;      //!< Time
    mutable std::mutex                       m_mutex;      //!< Guards what follows
    std::map<std::string, Kind, std::less<>> m_kinds;      //!< By event
    std::uint64_t                            m_leftOut{0}; //!< Since the start
};

} // namespace sailpath::adapters::logging
