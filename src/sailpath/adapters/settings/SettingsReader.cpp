#include <sailpath/adapters/settings/SettingsReader.hpp>

#include <getopt.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <fstream>
#include <iostream>

namespace sailpath::adapters::settings
{
namespace
{
constexpr std::string_view version = "0.1.0";
constexpr int              helpCode = 1000;
constexpr int              versionCode = 1001;
constexpr int              checkCode = 1002;

////////////////////////////////////////////////////////////
/// \brief `sailpath-entry` becomes `SAILPATH_ENTRY_`, `sailctl` becomes `SAILPATH_CTL_`
////////////////////////////////////////////////////////////
std::string variablePrefix(std::string_view program)
{
    std::string_view rest = program;
    for (const std::string_view start : {"sailpath-", "sail"})
    {
        if (rest.starts_with(start))
        {
            rest.remove_prefix(start.size());
            break;
        }
    }
    std::string prefix = "SAILPATH_";
    for (const char c : rest)
        prefix += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    return prefix + "_";
}

////////////////////////////////////////////////////////////
std::string variableName(std::string_view program, std::string_view option)
{
    std::string name = variablePrefix(program);
    for (const char c : option)
        name += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    return name;
}

////////////////////////////////////////////////////////////
template <typename Number>
bool isNumber(std::string_view text)
{
    Number value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return !text.empty() && error == std::errc{} && end == text.data() + text.size() && value >= 0;
}

////////////////////////////////////////////////////////////
bool isNameText(std::string_view text)
{
    const auto allowed = [](unsigned char c) { return std::isalnum(c) != 0 || c == '-' || c == '.'; };
    return !text.empty() && std::all_of(text.begin(), text.end(), allowed);
}

////////////////////////////////////////////////////////////
bool areEndpoints(std::string_view text)
{
    while (!text.empty())
    {
        const auto comma = text.find(',');
        if (!parseEndpoint(text.substr(0, comma)))
            return false;
        text = comma == std::string_view::npos ? std::string_view{} : text.substr(comma + 1);
    }
    return true;
}

////////////////////////////////////////////////////////////
bool isReadable(std::string_view path)
{
    return path.empty() || std::ifstream(std::string(path)).good();
}

////////////////////////////////////////////////////////////
/// \brief What is expected of a value; empty when the value is right
////////////////////////////////////////////////////////////
std::string_view expectation(OptionKind kind, std::string_view value)
{
    switch (kind)
    {
    case OptionKind::Text:
        return "";
    case OptionKind::Name:
        return isNameText(value) ? "" : "expected letters, digits, hyphens and dots";
    case OptionKind::Whole:
    case OptionKind::Milliseconds:
        return isNumber<std::uint64_t>(value) ? "" : "expected a whole number, 0 or more";
    case OptionKind::Number:
        return isNumber<double>(value) ? "" : "expected a number, 0 or more";
    case OptionKind::Address:
        return value.empty() || parseEndpoint(std::string(value) + ":1") ? "" : "expected an IP address";
    case OptionKind::Endpoint:
        return parseEndpoint(value) ? "" : "expected IP:PORT";
    case OptionKind::Endpoints:
        return areEndpoints(value) ? "" : "expected IP:PORT, separated by commas";
    case OptionKind::Switch:
        return value == "true" || value == "false" ? "" : "expected true or false";
    case OptionKind::SecretFile:
        return isReadable(value) ? "" : "expected a file that can be read";
    }
    return "";
}

////////////////////////////////////////////////////////////
std::string helpText(const Program& program)
{
    std::string text = "Usage: " + std::string(program.name) + " [flags] " + std::string(program.operands) + "\n" +
                       std::string(program.summary) + "\n\nFlags (variable in brackets):\n";
    for (const Option& option : program.options)
    {
        text += "  --" + std::string(option.name) + "  [" + variableName(program.name, option.name) + "]\n      " +
                std::string(option.help) +
                " (default: " + std::string(option.fallback.empty() ? "none" : option.fallback) + ")\n";
    }
    text += "  --check\n      check the settings and exit\n  --help\n  --version\n"
            "\nExit codes: 0 done, 1 failed, 2 wrong settings or operands, 3 conflict, 4 findings in a declaration\n";
    return text;
}

////////////////////////////////////////////////////////////
/// \brief Reads one program's command line and variables
////////////////////////////////////////////////////////////
class Reader
{
public:
    Reader(const Program& program, ReadSettings& result) :
    m_program(program),
    m_result(result)
    {
    }

    ////////////////////////////////////////////////////////////
    void readVariables(std::span<const std::string> environment)
    {
        const std::string prefix = variablePrefix(m_program.name);
        for (const std::string& entry : environment)
        {
            if (!entry.starts_with(prefix))
                continue;
            const auto        equals = entry.find('=');
            const std::string name = entry.substr(0, equals);
            const auto        option =
                std::find_if(m_program.options.begin(), m_program.options.end(),
                             [&](const Option& o) { return variableName(m_program.name, o.name) == name; });
            if (option == m_program.options.end())
                m_result.findings.add(name, "unknown variable");
            else
                accept(*option, name, entry.substr(equals + 1));
        }
    }

    ////////////////////////////////////////////////////////////
    void readFlags(std::span<char* const> arguments)
    {
        std::vector<std::string> names;
        std::vector<option>      table;
        names.reserve(m_program.options.size());
        for (std::size_t i = 0; i < m_program.options.size(); ++i)
        {
            const bool isSwitch = m_program.options[i].kind == OptionKind::Switch;
            names.emplace_back(m_program.options[i].name);
            table.push_back(
                {names.back().c_str(), isSwitch ? optional_argument : required_argument, nullptr, static_cast<int>(i)});
        }
        table.push_back({"help", no_argument, nullptr, helpCode});
        table.push_back({"version", no_argument, nullptr, versionCode});
        table.push_back({"check", no_argument, nullptr, checkCode});
        table.push_back({nullptr, 0, nullptr, 0});

        // getopt_long permutes its arguments, so it gets a copy.
        std::vector<char*> copy(arguments.begin(), arguments.end());
        copy.push_back(nullptr);
        opterr = 0;
        optind = 0;
        const int count = static_cast<int>(arguments.size());
        while (true)
        {
            const int index = optind == 0 ? 1 : optind;
            const int code = getopt_long(count, copy.data(), ":", table.data(), nullptr);
            if (code == -1)
                break;
            acceptCode(code, copy[static_cast<std::size_t>(index)]);
        }
        for (int i = optind; i < count; ++i)
            m_result.operands.emplace_back(copy[static_cast<std::size_t>(i)]);
    }

    ////////////////////////////////////////////////////////////
    void fillDefaults()
    {
        for (const Option& option : m_program.options)
        {
            if (m_given.contains(option.name))
                continue;
            if (option.fallback == required)
                m_result.findings.add("--" + std::string(option.name), "missing; it has no default");
            else
                m_result.settings.set(std::string(option.name), std::string(option.fallback));
        }
    }

    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool onlyCheck() const
    {
        return m_onlyCheck;
    }

private:
    ////////////////////////////////////////////////////////////
    void acceptCode(int code, std::string_view argument)
    {
        if (code == helpCode || code == versionCode)
        {
            m_result.exitCode = ExitOk;
            m_result.output = code == helpCode ? helpText(m_program)
                                               : std::string(m_program.name) + " " + std::string(version) + "\n";
        }
        else if (code == checkCode)
            m_onlyCheck = true;
        else if (code == '?')
            m_result.findings.add(std::string(argument), "unknown flag");
        else if (code == ':')
            m_result.findings.add(std::string(argument), "expected a value");
        else
        {
            const Option& option = m_program.options[static_cast<std::size_t>(code)];
            accept(option, "--" + std::string(option.name), optarg ? optarg : "true");
        }
    }

    ////////////////////////////////////////////////////////////
    void accept(const Option& option, const std::string& place, const std::string& value)
    {
        // Templates leave a gap empty where nothing is told; then the default holds.
        if (value.empty() && option.fallback != required)
            return;
        m_given[std::string(option.name)] = true;
        const std::string_view expected = expectation(option.kind, value);
        if (!expected.empty())
            m_result.findings.add(place, std::string(expected) + ", not \"" + value + "\"");
        else
            m_result.settings.set(std::string(option.name), value);
    }

    const Program&        m_program;          //!< What is read for
    ReadSettings&         m_result;           //!< Receives everything
    core::StringMap<bool> m_given;            //!< Options that were given
    bool                  m_onlyCheck{false}; //!< `--check` was given
};

} // namespace

////////////////////////////////////////////////////////////
ReadSettings readSettings(const Program& program, std::span<char* const> arguments,
                          std::span<const std::string> environment)
{
    ReadSettings result;
    Reader       reader(program, result);
    reader.readVariables(environment);
    reader.readFlags(arguments);
    if (result.exitCode)
        return result;
    reader.fillDefaults();
    if (program.operands.empty())
    {
        for (const std::string& operand : result.operands)
            result.findings.add(operand, "unexpected operand");
    }
    if (!result.findings.empty())
        result.exitCode = ExitUsage;
    else if (reader.onlyCheck())
    {
        result.exitCode = ExitOk;
        result.output = "settings are right\n";
    }
    return result;
}

////////////////////////////////////////////////////////////
std::optional<ReadSettings> startProgram(const Program& program, int argc, char** argv, int& exitCode)
{
    std::vector<std::string> environment;
    for (char** entry = environ; *entry; ++entry)
        environment.emplace_back(*entry);

    ReadSettings read = readSettings(program, {argv, static_cast<std::size_t>(argc)}, environment);
    if (!read.exitCode)
        return read;
    std::cout << read.output;
    std::cerr << read.findings.text();
    exitCode = *read.exitCode;
    return std::nullopt;
}

////////////////////////////////////////////////////////////
int runProgram(const Program& program, int argc, char** argv, int (*run)(const ReadSettings&))
{
    int        code = 0;
    const auto started = startProgram(program, argc, argv, code);
    if (!started)
        return code;
    try
    {
        return run(*started);
    }
    catch (const std::exception& error)
    {
        std::cerr << program.name << ": " << error.what() << "\n";
        return ExitFailed;
    }
}

} // namespace sailpath::adapters::settings
