#include <sailpath/timeline/ClockAlignment.hpp>
#include <sailpath/timeline/Renderer.hpp>

#include <boost/test/unit_test.hpp>

namespace
{
using namespace sailpath::timeline;

////////////////////////////////////////////////////////////
Event event(const char* line)
{
    const auto parsed = parseEvent(line);
    BOOST_REQUIRE(parsed);
    return *parsed;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Timeline)

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(readsQuotedValues)
{
    const Event read = event(R"(time=2026-12-02T10:00:00.000250Z level=info node=a event=x note="a \"b\" c=d" n=1)");
    BOOST_TEST(read.field("note") == "a \"b\" c=d");
    BOOST_TEST(read.field("n") == "1");
    BOOST_TEST(formatTime(read.micros) == "2026-12-02T10:00:00.000250Z");
    for (const char* line :
         {"", "plain text", "time=yesterday node=a event=x", "time=2026-12-02T10:00:00.000250Z node=a"})
        BOOST_TEST(!parseEvent(line), line);
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(noMessageArrivesBeforeItWasSent)
{
    // The server's clock is five seconds behind the entry's.
    std::vector<Event>     events{event("time=2026-12-02T10:00:05.000000Z node=entry event=sent out=m1"),
                              event("time=2026-12-02T10:00:00.000100Z node=server event=received in=m1"),
                              event("time=2026-12-02T10:00:00.004000Z node=server event=answered out=m1.answer"),
                              event("time=2026-12-02T10:00:05.005000Z node=entry event=ended in=m1.answer")};
    const ClockCorrections corrections = alignClocks(events);
    BOOST_TEST(corrections.at("server") == 4'999'900);
    applyCorrections(events, corrections);
    const char* order[] = {"sent", "received", "answered", "ended"};
    for (std::size_t i = 0; i < 4; ++i)
        BOOST_TEST(events[i].name == order[i]);
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(pagesEscapeWhatTheyShow)
{
    const std::vector<Event> events{event(R"(time=2026-12-02T10:00:00.000000Z node=a event=x path="<script>")")};
    BOOST_TEST(renderHtml(events).find("path=&lt;script&gt;") != std::string::npos);
    BOOST_TEST(renderJsonLines(events).find("\"path\":\"<script>\"") != std::string::npos);
    BOOST_TEST(renderText(events) == "2026-12-02T10:00:00.000000Z a x path=<script>\n");
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(requestsBecomeArrivalsOfATrace)
{
    const std::vector<Event> events{
        event("time=2026-12-02T10:00:00.000000Z node=vm event=request-received request=r.a in=r.a method=GET host=s.w "
              "path=/x"),
        event("time=2026-12-02T10:00:00.001000Z node=s event=server-received in=r.a.1"),
        event("time=2026-12-02T10:00:00.003500Z node=s event=server-answered out=r.a.1.answer"),
        event("time=2026-12-02T10:00:00.004000Z node=vm event=request-received request=lost in=lost method=GET "
              "host=s.w path=/y")};
    const std::string trace = renderTrace(events);
    BOOST_TEST(trace.find("\"workMs\":2.5") != std::string::npos);
    BOOST_TEST(trace.find("/y") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
