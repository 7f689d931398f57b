// sailpath-standin-steady: a backend server for benchmarks, which waits for requests without polling.
//
// The library's server sleeps a millisecond now and then while a kept
// connection is idle, which would be measured as the entry's time.

#include <sailpath/adapters/http/Ingress.hpp>
#include <sailpath/adapters/process/StopSignals.hpp>
#include <sailpath/adapters/settings/SettingsReader.hpp>

#include <array>
#include <thread>

namespace
{
using namespace sailpath;
using adapters::settings::Option;
using adapters::settings::OptionKind;

constexpr std::array options{Option{"port", OptionKind::Whole, "0", "port on 127.0.0.1"},
                             Option{"work-us", OptionKind::Whole, "1000", "work of a request in microseconds"}};

constexpr adapters::settings::Program program{"sailpath-standin-steady", "A backend server for benchmarks.", "",
                                              options};

////////////////////////////////////////////////////////////
/// \brief Answers every request after its work
////////////////////////////////////////////////////////////
class SteadyHandler : public adapters::http::RequestHandler
{
public:
    explicit SteadyHandler(std::chrono::microseconds work) :
    m_work(work)
    {
    }

    void serve(adapters::http::CallerRequest& request) override
    {
        (void)request.body([](std::string_view) { return true; });
        std::this_thread::sleep_for(m_work);
        const std::string          body = "{\"path\":\"" + request.head.path + "\"}\n";
        adapters::http::AnswerHead head;
        head.reason = "OK";
        head.headers = {{"Content-Type", "application/json"}, {"Sailpath-Load", "0"}};
        head.framing = adapters::http::BodyFraming::Length;
        head.contentLength = body.size();
        request.answer.begin(head);
        (void)request.answer.body(body);
        (void)request.answer.end();
    }

private:
    std::chrono::microseconds m_work; //!< Work of a request
};

////////////////////////////////////////////////////////////
int run(const adapters::settings::ReadSettings& started)
{
    const adapters::process::StopSignals signals;

    SteadyHandler                   handler(std::chrono::microseconds{started.settings.whole("work-us")});
    adapters::http::IngressSettings settings;
    settings.listen = {"127.0.0.1", static_cast<std::uint16_t>(started.settings.whole("port"))};
    settings.workers = 600;
    const adapters::http::Ingress ingress(settings, handler);
    signals.wait();
    return 0;
}

} // namespace

////////////////////////////////////////////////////////////
int main(int argc, char** argv)
{
    return adapters::settings::runProgram(program, argc, argv, run);
}
