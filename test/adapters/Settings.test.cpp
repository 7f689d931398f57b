#include <sailpath/adapters/settings/SettingsReader.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>

namespace
{
using namespace sailpath::adapters::settings;

constexpr std::array options{Option{"name", OptionKind::Name, required, "a name"},
                             Option{"listen", OptionKind::Endpoint, "127.0.0.1:80", "an endpoint"},
                             Option{"peers", OptionKind::Endpoints, "", "endpoints"},
                             Option{"workers", OptionKind::Whole, "8", "a number"},
                             Option{"dry-run", OptionKind::Switch, "false", "a switch"},
                             Option{"key-file", OptionKind::SecretFile, "", "a secret"}};

constexpr Program program{"sailpath-entry", "A program.", "", options};

////////////////////////////////////////////////////////////
ReadSettings read(std::vector<std::string> arguments, const std::vector<std::string>& environment = {})
{
    arguments.insert(arguments.begin(), "sailpath-entry");
    std::vector<char*> pointers;
    pointers.reserve(arguments.size());
    for (std::string& argument : arguments)
        pointers.push_back(argument.data());
    return readSettings(program, pointers, environment);
}

////////////////////////////////////////////////////////////
bool finds(const ReadSettings& read, std::string_view place)
{
    const auto all = read.findings.all();
    return std::any_of(all.begin(), all.end(), [place](const auto& finding) { return finding.place == place; });
}

} // namespace

BOOST_AUTO_TEST_SUITE(SettingsReader)

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(flagBeforeVariableBeforeDefault)
{
    const auto both = read({"--name", "flag"}, {"SAILPATH_ENTRY_NAME=variable", "SAILPATH_ENTRY_WORKERS=9", "HOME=/"});
    BOOST_TEST(!both.exitCode);
    BOOST_TEST(both.settings.text("name") == "flag");
    BOOST_TEST(both.settings.whole("workers") == 9U);
    BOOST_TEST(both.settings.endpoint("listen").port == 80);
    BOOST_TEST(!both.settings.isOn("dry-run"));
    BOOST_TEST(read({"--name=a", "--dry-run"}).settings.isOn("dry-run"));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(anEmptyValueMeansTheDefaultUnlessThereIsNone)
{
    const auto empty = read({"--name=a", "--workers=", "--listen="}, {"SAILPATH_ENTRY_PEERS="});
    BOOST_TEST(empty.findings.empty());
    BOOST_TEST(empty.settings.whole("workers") == 8U);
    BOOST_TEST(empty.settings.endpoint("listen").port == 80);
    BOOST_TEST(finds(read({"--name="}), "--name"));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(everythingWrongIsReportedAtOnce)
{
    const auto wrong =
        read({"--listen", "localhost:80", "--colour", "red", "--workers", "many", "operand"},
             {"SAILPATH_ENTRY_COLOUR=red", "SAILPATH_ENTRY_PEERS=10.0.0.1", "SAILPATH_ENTRY_KEY_FILE=/nowhere"});
    BOOST_TEST(*wrong.exitCode == ExitUsage);
    for (const char* place : {"--listen", "--colour", "--workers", "--name", "operand", "SAILPATH_ENTRY_COLOUR",
                              "SAILPATH_ENTRY_PEERS", "SAILPATH_ENTRY_KEY_FILE"})
        BOOST_TEST(finds(wrong, place), place);
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(variablesOfOtherProgramsAreLeftAlone)
{
    BOOST_TEST(!read({"--name=a"}, {"SAILPATH_API_LISTEN=x"}).exitCode);
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(helpVersionAndCheck)
{
    BOOST_TEST(read({"--help"}).output.find("SAILPATH_ENTRY_KEY_FILE") != std::string::npos);
    BOOST_TEST(*read({"--version"}).exitCode == ExitOk);
    BOOST_TEST(*read({"--check", "--name=a"}).exitCode == ExitOk);
    BOOST_TEST(*read({"--check"}).exitCode == ExitUsage);
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(endpointsAreIpNumbers)
{
    BOOST_TEST(parseEndpoint("10.0.0.1:8080")->port == 8080);
    BOOST_TEST(parseEndpoint("[::1]:1")->text() == "[::1]:1");
    for (const char* text : {"", "10.0.0.1", "10.0.0.1:", "host:80", "10.0.0.1:99999", "10.0.0.1:8x", ":80"})
        BOOST_TEST(!parseEndpoint(text), text);
}

BOOST_AUTO_TEST_SUITE_END()
