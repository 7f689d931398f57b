// sailpath-standin-platform: the platform for demos and tests.

#include "PlatformStandIn.hpp"

#include <sailpath/adapters/process/StopSignals.hpp>
#include <sailpath/adapters/settings/SettingsReader.hpp>

#include <array>
#include <cstdlib>
#include <iostream>

namespace
{
using namespace sailpath;
using adapters::settings::Option;
using adapters::settings::OptionKind;

constexpr std::array options{Option{"port", OptionKind::Whole, "0", "port on 127.0.0.1; 0 lets the system choose"},
                             Option{"vms", OptionKind::Text, "[]", "list of VMs as JSON"}};

constexpr adapters::settings::Program program{"sailpath-standin-platform", "The platform for demos and tests.", "",
                                              options};

////////////////////////////////////////////////////////////
int run(const adapters::settings::ReadSettings& started)
{
    const adapters::process::StopSignals signals;

    standins::PlatformStandIn platform(static_cast<std::uint16_t>(started.settings.whole("port")));
    platform.setVms(started.settings.text("vms"));
    std::cout << "port=" << platform.port() << std::endl;
    signals.wait();
    // The library would wait for idle connections.
    std::_Exit(0);
}

} // namespace

////////////////////////////////////////////////////////////
int main(int argc, char** argv)
{
    return adapters::settings::runProgram(program, argc, argv, run);
}
