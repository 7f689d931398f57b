#include "History.hpp"

#include <map>
#include <set>

namespace sailpath::system
{
namespace
{
////////////////////////////////////////////////////////////
/// \brief The request id without the attempt's number
////////////////////////////////////////////////////////////
std::string requestOf(const std::string& attempt)
{
    return attempt.substr(0, attempt.rfind('.'));
}

////////////////////////////////////////////////////////////
std::string_view nameOf(Ending ending)
{
    switch (ending)
    {
    case Ending::Answered:
        return "answered";
    case Ending::NotRun:
        return "not-run";
    case Ending::Unknown:
        return "unknown";
    case Ending::Broken:
        break;
    }
    return "broken";
}

////////////////////////////////////////////////////////////
/// \brief All events of an operation, for a person to read
////////////////////////////////////////////////////////////
std::string eventsOf(const History& history, const std::string& operation)
{
    std::string text = operation + ":";
    for (const Sending& sending : history.sendings)
    {
        if (sending.operation == operation)
            text += " sent " + sending.request + " " + std::string(nameOf(sending.ending)) + ";";
    }
    for (const Execution& execution : history.executions)
    {
        if (execution.operation == operation)
            text += " ran " + execution.attempt + " at " + execution.server + ";";
    }
    return text;
}

} // namespace

////////////////////////////////////////////////////////////
std::vector<Violation> checkHistory(const History& history)
{
    std::vector<Violation>     violations;
    std::map<std::string, int> runs;
    std::set<std::string>      ran;
    for (const Execution& execution : history.executions)
    {
        ran.insert(requestOf(execution.attempt));
        if (!execution.operation.empty() && ++runs[execution.operation] == 2)
            violations.push_back({"at-most-once", eventsOf(history, execution.operation)});
    }
    for (const Sending& sending : history.sendings)
    {
        const bool itRan = ran.contains(sending.request);
        if (sending.ending == Ending::NotRun && itRan)
            violations.push_back({"not-run", eventsOf(history, sending.operation)});
        if (sending.ending != Ending::Answered)
            continue;
        if (sending.answeredFor != sending.request || !itRan || !sending.whole)
            violations.push_back(
                {"own-answer", eventsOf(history, sending.operation) + " answer of " + sending.answeredFor});
    }
    return violations;
}

} // namespace sailpath::system
