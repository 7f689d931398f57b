// sailpath-api: the operators' resource interface.

#include "ApiServer.hpp"

#include <sailpath/adapters/logging/Log4cplusEventLog.hpp>
#include <sailpath/adapters/process/StopSignals.hpp>
#include <sailpath/adapters/settings/SettingsReader.hpp>

#include <array>

namespace
{
using namespace sailpath;
using adapters::settings::Option;
using adapters::settings::OptionKind;

constexpr std::array options{
    Option{"name", OptionKind::Name, adapters::settings::required, "name of this process in the time line"},
    Option{"listen", OptionKind::Endpoint, "0.0.0.0:8090", "where operators connect"},
    Option{"platform", OptionKind::Endpoint, adapters::settings::required, "the platform's key-value service"},
    Option{"admin-token-file", OptionKind::SecretFile, adapters::settings::required,
           "file with the administrator's token"},
    Option{"changes-per-second", OptionKind::Number, "5", "changes allowed to each workspace"},
    Option{"log-file", OptionKind::Text, "", "event log; standard error when empty"},
    Option{"log-level", OptionKind::Text, "info", "debug, info, warning or error"},
};

constexpr adapters::settings::Program program{"sailpath-api", "The operators' resource interface.", "", options};

////////////////////////////////////////////////////////////
int run(const adapters::settings::ReadSettings& started)
{
    const adapters::settings::Settings&  settings = started.settings;
    const adapters::process::StopSignals signals;
    adapters::logging::Log4cplusEventLog log(settings.text("name"), settings.text("log-file"),
                                             settings.text("log-level"));
    programs::ApiSettings                api;
    api.listen = settings.endpoint("listen");
    api.platform = settings.endpoint("platform");
    api.adminToken = settings.secret("admin-token-file");
    api.changesPerSecond = settings.number("changes-per-second");

    const programs::ApiServer server(api, log);
    log.write(ports::Level::Info, "started", {{"port", server.port()}});
    signals.wait();
    log.write(ports::Level::Info, "stopped", {});
    return adapters::settings::ExitOk;
}

} // namespace

////////////////////////////////////////////////////////////
int main(int argc, char** argv)
{
    return adapters::settings::runProgram(program, argc, argv, run);
}
