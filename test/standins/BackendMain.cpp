// sailpath-standin-backend: a backend server for demos and tests.

#include "BackendStandIn.hpp"

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
                             Option{"name", OptionKind::Name, "backend", "name in answers and logs"},
                             Option{"work-us", OptionKind::Whole, "5000", "work of a request in microseconds"},
                             Option{"slots", OptionKind::Whole, "3", "requests worked on at once"},
                             Option{"log-file", OptionKind::Text, "", "event log; none when empty"}};

constexpr adapters::settings::Program program{"sailpath-standin-backend", "A backend server for demos and tests.", "",
                                              options};

////////////////////////////////////////////////////////////
int run(const adapters::settings::ReadSettings& started)
{
    const adapters::process::StopSignals signals;

    const auto&                settings = started.settings;
    standins::BackendBehaviour behaviour;
    behaviour.work = std::chrono::microseconds{settings.whole("work-us")};
    behaviour.keepAlive = std::chrono::seconds{60};
    behaviour.slots = static_cast<unsigned>(settings.whole("slots"));
    const standins::BackendStandIn backend(settings.text("name"), static_cast<std::uint16_t>(settings.whole("port")),
                                           behaviour, settings.text("log-file"));
    std::cout << "port=" << backend.port() << std::endl;
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
