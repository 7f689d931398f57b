#include <sailpath/gateway/StopSchedule.hpp>

#include <boost/test/unit_test.hpp>

namespace
{
using namespace std::chrono_literals;
using sailpath::gateway::OpenWork;
using sailpath::gateway::StopReason;
using sailpath::gateway::StopSchedule;

} // namespace

BOOST_AUTO_TEST_SUITE(StopScheduleTest)

BOOST_AUTO_TEST_CASE(AnIdleProcessEndsWhenCallersHadTimeToNotice)
{
    const StopSchedule schedule(5400ms);
    BOOST_TEST((schedule.noticeTime() == 2300ms));
    BOOST_TEST((schedule.decide({0, 0, 0, 0}, 2300ms) == StopReason::Idle));
}

BOOST_AUTO_TEST_CASE(CallersThatHaveSentNoWholeRequestKeepItForASecond)
{
    const StopSchedule schedule(5400ms);
    BOOST_TEST((schedule.decide({0, 0, 0, 2}, 3299ms) == StopReason::None));
    BOOST_TEST((schedule.decide({0, 0, 0, 2}, 3300ms) == StopReason::Linger));
}

// Guards against a process that ends while answers are being sent.
BOOST_AUTO_TEST_CASE(WhateverIsUnfinishedKeepsItUntilTheGraceIsOver)
{
    const StopSchedule schedule(5400ms);
    for (const OpenWork& work : {OpenWork{1, 0, 0, 1}, OpenWork{0, 1, 0, 1}, OpenWork{0, 0, 1, 0}})
    {
        BOOST_TEST((schedule.decide(work, 2300ms) == StopReason::None));
        BOOST_TEST((schedule.decide(work, 5399ms) == StopReason::None));
        BOOST_TEST((schedule.decide(work, 5400ms) == StopReason::GraceIsOver));
    }
}

BOOST_AUTO_TEST_CASE(AShortGraceIsKept)
{
    const StopSchedule schedule(900ms);
    BOOST_TEST((schedule.noticeTime() == 900ms));
    BOOST_TEST((schedule.decide({0, 1, 0, 1}, 900ms) == StopReason::GraceIsOver));
}

BOOST_AUTO_TEST_SUITE_END()
