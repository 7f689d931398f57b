#pragma once

#include <sailpath/ports/EventLog.hpp>

#include <memory>
#include <string>

namespace sailpath::adapters::logging
{
////////////////////////////////////////////////////////////
/// \brief Writes one line of key=value pairs per event through log4cplus
////////////////////////////////////////////////////////////
class Log4cplusEventLog : public ports::EventLog
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Open the log
    ///
    /// \param node  Name of the process in the time line
    /// \param file  Path; empty writes to standard error
    /// \param level `debug`, `info`, `warning` or `error`
    ////////////////////////////////////////////////////////////
    Log4cplusEventLog(std::string node, const std::string& file, std::string_view level);

    ////////////////////////////////////////////////////////////
    /// \brief Write to standard output from now on, and lose lines rather than wait for a reader
    ////////////////////////////////////////////////////////////
    void useStandardOutput();

    ~Log4cplusEventLog() override;
    Log4cplusEventLog(const Log4cplusEventLog&) = delete;
    Log4cplusEventLog& operator=(const Log4cplusEventLog&) = delete;

    ////////////////////////////////////////////////////////////
    /// \copydoc ports::EventLog::writes
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool writes(ports::Level level) const override;

    ////////////////////////////////////////////////////////////
    /// \copydoc ports::EventLog::write
    ////////////////////////////////////////////////////////////
    void write(ports::Level level, std::string_view event, std::initializer_list<ports::Field> fields) override;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl; //!< The library's objects
};

////////////////////////////////////////////////////////////
/// \brief Format an event as it stands in the log, without the line's end
////////////////////////////////////////////////////////////
[[nodiscard]] std::string formatEvent(std::string_view time, std::string_view level, std::string_view node,
                                      std::string_view event, std::initializer_list<ports::Field> fields);

} // namespace sailpath::adapters::logging
