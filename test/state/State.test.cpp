#include <sailpath/state.hpp>

#include <boost/test/unit_test.hpp>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;

constexpr core::Timestamp start{1h};

} // namespace

BOOST_AUTO_TEST_SUITE(State)

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(olderDocumentsNeverReplaceNewerOnes)
{
    state::ConfigurationState configuration;
    BOOST_TEST(configuration.applyIfNewer({"a", "new", 7, false}));
    BOOST_TEST(!configuration.applyIfNewer({"a", "old", 6, false}));
    BOOST_TEST(!configuration.applyIfNewer({"a", "same", 7, false}));
    BOOST_TEST(configuration.find("a")->text == "new");
    BOOST_TEST(configuration.applyIfNewer({"a", "", 9, true}));
    BOOST_TEST(!configuration.applyIfNewer({"a", "new", 8, false}));
    BOOST_TEST(configuration.find("a")->deleted);
    BOOST_TEST(configuration.revision() == 9U);
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(batchesBringAnotherStateUpToDate)
{
    state::ConfigurationState full;
    for (std::uint64_t i = 1; i <= 50; ++i)
        BOOST_TEST(full.applyIfNewer({"w" + std::to_string(i % 20), std::string(100, 'x'), i, false}));
    state::ConfigurationState empty;
    int                       batches = 0;
    for (bool more = true; more; ++batches)
    {
        const state::DocumentBatch batch = full.since(empty.revision(), 350);
        for (const state::Document& document : batch.documents)
            (void)empty.applyIfNewer(document);
        more = batch.more;
    }
    BOOST_TEST(batches == 7);
    BOOST_TEST(empty.revision() == full.revision());
    for (int i = 0; i < 20; ++i)
        BOOST_TEST((*empty.find("w" + std::to_string(i)) == *full.find("w" + std::to_string(i))));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(aLeaseExpiresForItsHolderBeforeTheStore)
{
    state::HeldLease lease;
    BOOST_TEST(!lease.isValid(start));
    lease.recordGrant(4, 10s, start);
    BOOST_TEST(lease.isValid(start + 8s));
    BOOST_TEST(!lease.isValid(start + 9s));
    BOOST_TEST(!lease.id(start + 1h));
    lease.recordGrant(4, 10s, start + 20s);
    lease.recordLoss();
    BOOST_TEST(!lease.isValid(start + 21s));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(backoffGrowsWithinItsBounds)
{
    core::Random   random(3);
    state::Backoff backoff(200ms, 10s);
    core::Duration longest{0};
    for (int i = 0; i < 50; ++i)
    {
        const core::Duration wait = backoff.next(random);
        BOOST_TEST((wait >= 200ms && wait <= 10s));
        longest = std::max(longest, wait);
    }
    BOOST_TEST((longest > 5s));
    backoff.reset();
    BOOST_TEST((backoff.next(random) <= 600ms));
}

BOOST_AUTO_TEST_SUITE_END()
