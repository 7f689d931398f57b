#include <sailpath/replay/Trace.hpp>

#include <sailpath/config/WorkspaceParser.hpp>

#include <nlohmann/json.hpp>

#include <array>
#include <stdexcept>

namespace sailpath::replay
{
namespace
{
using nlohmann::json;

////////////////////////////////////////////////////////////
core::Timestamp timeOf(const json& object, const char* member, core::Timestamp fallback)
{
    const auto found = object.find(member);
    return found == object.end() ? fallback : core::Timestamp{core::fromMilliseconds(found->get<double>())};
}

////////////////////////////////////////////////////////////
core::Duration durationOf(const json& object, const char* member, core::Duration fallback)
{
    const auto found = object.find(member);
    return found == object.end() ? fallback : core::fromMilliseconds(found->get<double>());
}

////////////////////////////////////////////////////////////
ServerEventKind kindNamed(const std::string& name)
{
    static const std::array<std::pair<std::string_view, ServerEventKind>, 8> kinds{{
        {"slow", ServerEventKind::Slow},
        {"drain", ServerEventKind::Drain},
        {"reject", ServerEventKind::Reject},
        {"down", ServerEventKind::Down},
        {"cold", ServerEventKind::Cold},
        {"lie", ServerEventKind::Lie},
        {"delay-reports", ServerEventKind::DelayReports},
        {"recover", ServerEventKind::Recover},
    }};
    for (const auto& [known, kind] : kinds)
    {
        if (known == name)
            return kind;
    }
    throw std::invalid_argument("unknown event \"" + name + "\"");
}

////////////////////////////////////////////////////////////
/// \brief Reads lines into a trace
////////////////////////////////////////////////////////////
class Reader
{
public:
    Reader(ReadTrace& result, std::string_view source) :
    m_result(result),
    m_source(source)
    {
    }

    ////////////////////////////////////////////////////////////
    void readLine(std::string_view line, std::size_t number)
    {
        const std::string place = m_source + ":" + std::to_string(number);
        try
        {
            const json object = json::parse(line, nullptr, true, true);
            readObject(object, place);
        }
        catch (const std::exception& error)
        {
            m_result.findings.add(place, error.what());
        }
    }

private:
    ////////////////////////////////////////////////////////////
    void readObject(const json& object, const std::string& place)
    {
        using Read = void (Reader::*)(const json&, const std::string&);
        static constexpr std::array<std::pair<std::string_view, Read>, 6> readers{{
            {"setup", &Reader::readSetup},
            {"load", &Reader::readLoad},
            {"arrival", &Reader::readArrival},
            {"server", &Reader::readServer},
            {"entry", &Reader::readEntry},
            {"expect", &Reader::readExpectation},
        }};
        const auto                                                        type = object.at("type").get<std::string>();
        for (const auto& [known, read] : readers)
        {
            if (known == type)
            {
                (this->*read)(object, place);
                return;
            }
        }
        m_result.findings.add(place, "unknown type \"" + type + "\"");
    }

    ////////////////////////////////////////////////////////////
    void readSetup(const json& object, const std::string& place)
    {
        Setup& setup = m_result.trace.setup;
        setup.seed = object.value("seed", setup.seed);
        setup.entries = object.value("entries", setup.entries);
        setup.dataCentres = object.value("dataCentres", setup.dataCentres);
        setup.oneWay = durationOf(object, "oneWayMs", setup.oneWay);
        setup.oneWayInside = durationOf(object, "oneWayInsideMs", setup.oneWayInside);
        setup.connect = durationOf(object, "connectMs", setup.connect);
        if (setup.entries == 0 || setup.dataCentres.empty())
            m_result.findings.add(place, "expected at least one entry and one data centre");
        for (json declaration : object.value("workspaces", json::array()))
        {
            for (json& service : declaration.at("services"))
                expandServers(service, setup.dataCentres);
            config::ParsedWorkspace parsed = config::parseWorkspace(declaration.dump(), place);
            m_result.findings.append(parsed.findings);
            if (parsed.workspace)
                setup.workspaces.push_back(std::move(*parsed.workspace));
        }
    }

    ////////////////////////////////////////////////////////////
    /// \brief A number in place of a service's servers makes so many, spread over the data centres
    ////////////////////////////////////////////////////////////
    static void expandServers(json& service, const std::vector<std::string>& dataCentres)
    {
        if (!service.at("servers").is_number())
            return;
        const auto count = service.at("servers").get<unsigned>();
        const auto connections = service.value("connections", 250U);
        service.erase("connections");
        json servers = json::array();
        for (unsigned i = 0; i < count; ++i)
            servers.push_back({{"name", service.at("name").get<std::string>() + "-" + std::to_string(i + 1)},
                               {"address", "10.0.0.1"},
                               {"port", 1000 + i},
                               {"dataCentre", dataCentres.at(i % dataCentres.size())},
                               {"connections", connections}});
        service["servers"] = servers;
    }

    ////////////////////////////////////////////////////////////
    void readLoad(const json& object, const std::string&)
    {
        LoadPhase load;
        load.from = timeOf(object, "fromMs", {});
        load.until = timeOf(object, "untilMs", {});
        load.host = object.at("host").get<std::string>();
        load.method = object.value("method", load.method);
        load.path = object.value("path", load.path);
        load.rate = object.at("rate").get<double>();
        load.workMs = object.at("workMs").get<double>();
        load.fixedWork = object.value("fixedWork", false);
        load.chain = object.value("chain", load.chain);
        load.passRetrySign = object.value("passRetrySign", true);
        m_result.trace.loads.push_back(std::move(load));
    }

    ////////////////////////////////////////////////////////////
    void readArrival(const json& object, const std::string&)
    {
        Arrival arrival;
        arrival.at = timeOf(object, "atMs", {});
        arrival.host = object.at("host").get<std::string>();
        arrival.method = object.value("method", arrival.method);
        arrival.path = object.value("path", arrival.path);
        arrival.workMs = object.value("workMs", arrival.workMs);
        m_result.trace.arrivals.push_back(std::move(arrival));
    }

    ////////////////////////////////////////////////////////////
    void readServer(const json& object, const std::string&)
    {
        ServerEvent event;
        event.at = timeOf(object, "atMs", {});
        event.server = object.at("server").get<std::string>();
        event.kind = kindNamed(object.at("event").get<std::string>());
        event.factor = object.value("factor", 1.0);
        m_result.trace.servers.push_back(std::move(event));
    }

    ////////////////////////////////////////////////////////////
    void readEntry(const json& object, const std::string& place)
    {
        EntryEvent event;
        event.at = timeOf(object, "atMs", {});
        event.entry = object.at("entry").get<unsigned>();
        const auto what = object.at("event").get<std::string>();
        event.serving = what == "join";
        if (what != "join" && what != "leave")
            m_result.findings.add(place, "expected \"join\" or \"leave\"");
        m_result.trace.entries.push_back(event);
    }

    ////////////////////////////////////////////////////////////
    void readExpectation(const json& object, const std::string& place)
    {
        Expectation expectation;
        expectation.metric = object.at("metric").get<std::string>();
        expectation.host = object.value("host", std::string());
        expectation.path = object.value("path", std::string());
        expectation.from = timeOf(object, "fromMs", {});
        expectation.until = timeOf(object, "untilMs", core::Timestamp::max());
        if (object.contains("atMost"))
            expectation.atMost = object.at("atMost").get<double>();
        if (object.contains("atLeast"))
            expectation.atLeast = object.at("atLeast").get<double>();
        if (!expectation.atMost && !expectation.atLeast)
            m_result.findings.add(place, "expected atMost or atLeast");
        m_result.trace.expectations.push_back(std::move(expectation));
    }

    ReadTrace&  m_result; //!< Receives everything
    std::string m_source; //!< Name for findings
};

} // namespace

////////////////////////////////////////////////////////////
ReadTrace readTrace(std::string_view text, std::string_view source)
{
    ReadTrace   result;
    Reader      reader(result, source);
    std::size_t number = 0;
    while (!text.empty())
    {
        ++number;
        const auto             end = text.find('\n');
        const std::string_view line = text.substr(0, end);
        text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
        if (line.find_first_not_of(" \t\r") == std::string_view::npos || line.starts_with("//"))
            continue;
        reader.readLine(line, number);
    }
    return result;
}

} // namespace sailpath::replay
