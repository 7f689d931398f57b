#include "standins/PlatformStandIn.hpp"

#include <sailpath/adapters/store/Base64.hpp>
#include <sailpath/adapters/store/EtcdStore.hpp>

#include <boost/test/unit_test.hpp>

#include <thread>

namespace
{
using namespace sailpath;
using namespace std::chrono_literals;
using ports::StoreStatus;

////////////////////////////////////////////////////////////
struct Fixture
{
    standins::PlatformStandIn  platform{0};
    adapters::store::EtcdStore store{{"127.0.0.1", platform.port()}, 2s};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EtcdStore, Fixture)

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(writesOnlyOverTheExpectedRevision)
{
    const auto first = store.compareAndSwap({"/a/1", std::string("v\0w", 3), 0, 0});
    BOOST_TEST((first.status == StoreStatus::Ok));
    const auto conflict = store.compareAndSwap({"/a/1", "other", 0, 0});
    BOOST_TEST((conflict.status == StoreStatus::Conflict));
    BOOST_TEST(conflict.current->revision == first.revision);
    BOOST_TEST((conflict.current->value == std::string("v\0w", 3)));
    BOOST_TEST((store.compareAndSwap({"/a/1", "next", first.revision, 0}).status == StoreStatus::Ok));
    BOOST_TEST((store.compareAndSwap({"/b/1", "x", 0, 0}).status == StoreStatus::Ok));
    BOOST_TEST(store.range("/a/").items.size() == 1U);
    BOOST_TEST(store.get("/a/1").items.front().value == "next");
    BOOST_TEST(store.get("/a/2").items.empty());
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(aLostAnswerIsUnknownAndAnOutageToo)
{
    platform.faults().set({0ms, false, 1});
    BOOST_TEST((store.compareAndSwap({"/a", "v", 0, 0}).status == StoreStatus::Unknown));
    BOOST_TEST(store.get("/a").items.size() == 1U);
    platform.faults().set({0ms, true, 0});
    BOOST_TEST((store.get("/a").status == StoreStatus::Unknown));
    BOOST_TEST((store.grant(5s).status == StoreStatus::Unknown));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(nobodyListeningIsCertainlyNotDone)
{
    std::uint16_t port = 0;
    {
        const standins::PlatformStandIn gone{0};
        port = gone.port();
    }
    adapters::store::EtcdStore nobody({"127.0.0.1", port}, 500ms);
    BOOST_TEST((nobody.compareAndSwap({"/a", "v", 0, 0}).status == StoreStatus::Unavailable));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(keysEndWithTheirLease)
{
    const auto lease = store.grant(1s);
    BOOST_TEST((lease.status == StoreStatus::Ok));
    BOOST_TEST((store.compareAndSwap({"/l", "v", 0, lease.lease}).status == StoreStatus::Ok));
    BOOST_TEST((store.renew(lease.lease).status == StoreStatus::Ok));
    store.revoke(lease.lease);
    BOOST_TEST(store.get("/l").items.empty());
    BOOST_TEST((store.renew(lease.lease).status == StoreStatus::Conflict));
    BOOST_TEST((store.compareAndSwap({"/l", "v", 0, lease.lease}).status == StoreStatus::Conflict));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(aWatchSeesChangesInOrderFromItsRevision)
{
    const auto               first = store.compareAndSwap({"/w/1", "a", 0, 0});
    std::vector<std::string> seen;
    std::thread              watcher(
        [&]
        {
            adapters::store::EtcdStore other({"127.0.0.1", platform.port()}, 2s);
            other.watch("/w/", first.revision,
                                     [&](std::span<const ports::KeyValue> items)
                                     {
                            for (const auto& item : items)
                                seen.push_back(item.value);
                            return seen.size() < 3;
                        });
        });
    (void)store.compareAndSwap({"/x/1", "no", 0, 0});
    (void)store.compareAndSwap({"/w/2", "b", 0, 0});
    (void)store.compareAndSwap({"/w/1", "c", first.revision, 0});
    watcher.join();
    BOOST_TEST((seen == std::vector<std::string>{"a", "b", "c"}));
}

////////////////////////////////////////////////////////////
BOOST_AUTO_TEST_CASE(base64HoldsAnyBytes)
{
    using namespace adapters::store;
    for (const std::string& bytes : {std::string(), std::string("a"), std::string("ab"), std::string("\0\xff\x10", 3)})
        BOOST_TEST((decodeBase64(encodeBase64(bytes)) == bytes));
    BOOST_TEST(!decodeBase64("abc"));
    BOOST_TEST(!decodeBase64("a!=="));
}

BOOST_AUTO_TEST_SUITE_END()
