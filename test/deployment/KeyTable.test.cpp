#include <sailpath/deployment/KeyTable.hpp>

#include <boost/test/unit_test.hpp>

namespace
{
using namespace sailpath::deployment;

////////////////////////////////////////////////////////////
std::shared_ptr<const Deployment> withWorkspaces()
{
    Deployment deployment;
    deployment.workspaces = {{"north", {"k1", "k2"}, {}, 0, 0}, {"south", {"k3"}, {}, 0, 0}};
    return std::make_shared<const Deployment>(std::move(deployment));
}

} // namespace

BOOST_AUTO_TEST_SUITE(KeyTableTest)

BOOST_AUTO_TEST_CASE(EveryKeyIsFoundAndNoOtherTextIs)
{
    const KeyTable keys(withWorkspaces());
    BOOST_TEST(keys.needed());
    BOOST_REQUIRE(keys.find("k2"));
    BOOST_TEST(keys.find("k2")->name == "north");
    BOOST_TEST(keys.find("k3")->name == "south");
    for (const char* other : {"", "k", "k11", "K1", " k1", "north"})
        BOOST_TEST(!keys.find(other), other);
}

BOOST_AUTO_TEST_CASE(WithoutWorkspacesNoKeyIsNeeded)
{
    BOOST_TEST(!KeyTable().needed());
    BOOST_TEST(!KeyTable(std::make_shared<const Deployment>()).needed());
    BOOST_TEST(!KeyTable().find("k1"));
}

BOOST_AUTO_TEST_SUITE_END()
