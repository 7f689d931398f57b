#include <sailpath/adapters/logging/Log4cplusEventLog.hpp>

#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <fcntl.h>
#include <iostream>
#include <unistd.h>

namespace sailpath::adapters::logging
{
namespace
{
////////////////////////////////////////////////////////////
log4cplus::LogLevel toLibrary(ports::Level level)
{
    static constexpr std::array<log4cplus::LogLevel, 4> levels{log4cplus::DEBUG_LOG_LEVEL, log4cplus::INFO_LOG_LEVEL,
                                                               log4cplus::WARN_LOG_LEVEL, log4cplus::ERROR_LOG_LEVEL};
    return levels.at(static_cast<std::size_t>(level));
}

////////////////////////////////////////////////////////////
std::string_view nameOf(ports::Level level)
{
    static constexpr std::array<std::string_view, 4> names{"debug", "info", "warning", "error"};
    return names.at(static_cast<std::size_t>(level));
}

////////////////////////////////////////////////////////////
ports::Level levelNamed(std::string_view name)
{
    for (const auto level : {ports::Level::Debug, ports::Level::Warning, ports::Level::Error})
    {
        if (nameOf(level) == name)
            return level;
    }
    return ports::Level::Info;
}

////////////////////////////////////////////////////////////
/// \brief Current time of day in UTC with microseconds
////////////////////////////////////////////////////////////
std::string wallClock()
{
    const auto        now = std::chrono::time_point_cast<std::chrono::microseconds>(std::chrono::system_clock::now());
    const auto        micros = now.time_since_epoch().count();
    const std::time_t seconds = micros / 1'000'000;
    std::tm           parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 40> text{};
    const std::size_t    length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::snprintf(text.data() + length, text.size() - length, ".%06dZ", static_cast<int>(micros % 1'000'000));
    return text.data();
}

////////////////////////////////////////////////////////////
void appendValue(std::string& line, std::string_view value)
{
    const bool plain = !value.empty() && value.find_first_of(" \t\r\n\"=") == std::string_view::npos;
    if (plain)
    {
        line += value;
        return;
    }
    line += '"';
    for (const char c : value)
    {
        if (c == '"' || c == '\\')
            line += '\\';
        line += c == '\n' || c == '\r' ? ' ' : c;
    }
    line += '"';
}

} // namespace

////////////////////////////////////////////////////////////
struct Log4cplusEventLog::Impl
{
    log4cplus::Initializer initializer;           //!< Keeps the library running
    std::string            node;                  //!< Name in the time line
    log4cplus::Logger      logger;                //!< Where events go
    bool                   standardOutput{false}; //!< Lines go to standard output
};

////////////////////////////////////////////////////////////
Log4cplusEventLog::Log4cplusEventLog(std::string node, const std::string& file, std::string_view level) :
m_impl(std::make_unique<Impl>())
{
    m_impl->node = std::move(node);
    m_impl->logger = log4cplus::Logger::getInstance("sailpath");
    m_impl->logger.removeAllAppenders();

    log4cplus::SharedAppenderPtr appender;
    if (file.empty())
        appender = new log4cplus::ConsoleAppender(true, true);
    else
        appender = new log4cplus::FileAppender(file, std::ios_base::app, true);
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
    m_impl->logger.addAppender(appender);
    m_impl->logger.setLogLevel(toLibrary(levelNamed(level)));
}

////////////////////////////////////////////////////////////
Log4cplusEventLog::~Log4cplusEventLog()
{
    m_impl->logger.removeAllAppenders();
}

////////////////////////////////////////////////////////////
void Log4cplusEventLog::useStandardOutput()
{
    const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0)
        (void)::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    m_impl->standardOutput = true;
    m_impl->logger.removeAllAppenders();
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(false, true));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
    m_impl->logger.addAppender(appender);
}

////////////////////////////////////////////////////////////
bool Log4cplusEventLog::writes(ports::Level level) const
{
    return m_impl->logger.isEnabledFor(toLibrary(level));
}

////////////////////////////////////////////////////////////
void Log4cplusEventLog::write(ports::Level level, std::string_view event, std::initializer_list<ports::Field> fields)
{
    if (!writes(level))
        return;
    // A reader that does not keep up makes the stream fail; later lines are tried again.
    if (m_impl->standardOutput && !std::cout.good())
        std::cout.clear();
    m_impl->logger.log(toLibrary(level), formatEvent(wallClock(), nameOf(level), m_impl->node, event, fields));
}

////////////////////////////////////////////////////////////
std::string formatEvent(std::string_view time, std::string_view level, std::string_view node, std::string_view event,
                        std::initializer_list<ports::Field> fields)
{
    std::string line;
    line.reserve(160);
    line.append("time=").append(time).append(" level=").append(level);
    line.append(" node=").append(node).append(" event=").append(event);
    for (const ports::Field& field : fields)
    {
        line.append(" ").append(field.key).append("=");
        appendValue(line, field.value);
    }
    return line;
}

} // namespace sailpath::adapters::logging
