#include <sailpath/control/ServerProbe.hpp>

#include <sailpath/entry/HeaderNames.hpp>

#include <charconv>
#include <chrono>

namespace sailpath::control
{
namespace
{
using adapters::http::AnswerHead;
using adapters::http::Header;
using adapters::http::sameName;

constexpr auto probeTimeout = std::chrono::milliseconds{500};

////////////////////////////////////////////////////////////
/// \brief Read the load report from the headers of an answer; false if the load is absent or invalid
////////////////////////////////////////////////////////////
bool readLoad(const AnswerHead& head, node::ServerReport& report)
{
    bool hasLoad = false;
    for (const Header& header : head.headers)
    {
        const char* const begin = header.value.data();
        const char* const end = begin + header.value.size();
        if (sameName(header.name, entry::headerLoad))
            hasLoad = std::from_chars(begin, end, report.load.inFlight).ec == std::errc{};
        else if (sameName(header.name, entry::headerDraining))
            report.draining = header.value == "true";
    }
    return hasLoad;
}

} // namespace

////////////////////////////////////////////////////////////
std::optional<node::ServerReport> probeServer(adapters::http::BackendClient& client, const node::Target& target)
{
    node::ServerReport report;
    report.workspace = target.workspace;
    report.service = target.service;
    report.server = target.server;

    adapters::http::ServerRequest request;
    request.method = "GET";
    request.target = target.probePath;
    request.headers.push_back({"Host", target.service + "." + target.workspace});
    request.deadline = std::chrono::steady_clock::now() + probeTimeout;

    bool                             reported = false;
    const adapters::http::AnswerSink sink{[&](const AnswerHead& head)
                                          {
                                              reported = readLoad(head, report);
                                              return true;
                                          },
                                          [](std::string_view) { return true; }};
    adapters::http::Cancellation     cancellation;
    (void)client.exchange(target.address, target.port, request, sink, cancellation);
    return reported ? std::optional(report) : std::nullopt;
}

} // namespace sailpath::control
