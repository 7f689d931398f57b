#include <sailpath/adapters/logging/BoundedEventLog.hpp>

#include <boost/test/unit_test.hpp>

#include <vector>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;

core::Timestamp virtualNow{1h};

////////////////////////////////////////////////////////////
class Lines : public ports::EventLog
{
public:
    [[nodiscard]] bool writes(ports::Level) const override
    {
        return true;
    }

    void write(ports::Level, std::string_view event, std::initializer_list<ports::Field>) override
    {
        lines.emplace_back(event);
    }

    std::vector<std::string> lines;
};

} // namespace

BOOST_AUTO_TEST_SUITE(BoundedEventLogTest)

BOOST_AUTO_TEST_CASE(EachKindIsBoundedAndWhatIsLeftOutIsTold)
{
    Lines                              lines;
    adapters::logging::BoundedEventLog log(lines, 3, [] { return virtualNow; });
    for (int i = 0; i < 10; ++i)
        log.write(ports::Level::Info, "often", {});
    log.write(ports::Level::Info, "seldom", {});
    BOOST_TEST(lines.lines.size() == 4U);
    BOOST_TEST(log.leftOut() == 7U);
    virtualNow += 1s;
    log.write(ports::Level::Info, "often", {});
    BOOST_TEST(lines.lines.size() == 6U);
    BOOST_TEST(lines.lines[4] == "lines-left-out");
}

BOOST_AUTO_TEST_CASE(WarningsAreAlwaysWritten)
{
    Lines                              lines;
    adapters::logging::BoundedEventLog log(lines, 1, [] { return virtualNow; });
    for (int i = 0; i < 5; ++i)
        log.write(ports::Level::Warning, "bad", {});
    BOOST_TEST(lines.lines.size() == 5U);
}

BOOST_AUTO_TEST_SUITE_END()
