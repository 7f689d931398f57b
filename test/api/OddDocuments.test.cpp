#include <sailpath/api/Tokens.hpp>
#include <sailpath/config/WorkspaceParser.hpp>
#include <sailpath/documents/StoreKeys.hpp>

#include <support/FakeStore.hpp>

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

namespace
{
using namespace sailpath;

constexpr std::size_t depth = 400'000;

////////////////////////////////////////////////////////////
/// \brief Values that another writer may leave in place of any other
////////////////////////////////////////////////////////////
const std::vector<std::string>& oddValues()
{
    static const std::vector<std::string> all{std::string(depth, '[') + std::string(depth, ']'),
                                              "[" + std::string(depth, '[') + std::string(depth, ']') + "]",
                                              "1e999",
                                              std::string(400, '9'),
                                              "-1",
                                              "null",
                                              "{}",
                                              "\"\\u0000\"",
                                              "70000"};
    return all;
}

} // namespace

BOOST_AUTO_TEST_SUITE(OddDocumentsTest)

// Guards against processes that end because one document is nested deeply: a copy of it took the stack.
BOOST_AUTO_TEST_CASE(AStoredDocumentWithOddFieldsIsReadOrRejected)
{
    for (const std::string& odd : oddValues())
    {
        for (const std::string& text :
             {odd, R"({"text":"x","changeIds":)" + odd + "}", R"({"text":"x","changeIds":[)" + odd + R"(,"c"]})",
              R"({"text":)" + odd + "}", R"({"text":"x","deleted":)" + odd + "}", R"({"text":"x","more":)" + odd + "}"})
        {
            const auto document = documents::decodeDocument(text);
            BOOST_TEST((!document || document->text == "x" || document->text == std::string(1, '\0')));
        }
    }
    const auto kept = documents::decodeDocument(R"({"text":"x","changeIds":["a",[[]],"b"]})");
    BOOST_REQUIRE(kept.has_value());
    BOOST_TEST(kept->changeIds.size() == 2U);
}

BOOST_AUTO_TEST_CASE(ADeclarationWithOddFieldsHasFindings)
{
    for (const std::string& odd : oddValues())
    {
        for (const std::string& text :
             {odd, R"({"workspace":)" + odd + "}", R"({"workspace":"w","services":)" + odd + "}",
              R"({"workspace":"w","services":[{"name":"s","servers":)" + odd + "}]}",
              R"({"workspace":"w","services":[{"name":"s","servers":[{"name":"a","address":"10.0.0.1","port":)" + odd +
                  R"(,"dataCentre":"d","slots":1,"connections":1}]}]})"})
            BOOST_TEST(!config::parseWorkspace(text, "w.json").findings.empty(), text.substr(0, 100));
    }
}

// Guards against an exception in place of a refusal.
BOOST_AUTO_TEST_CASE(ATokenWithOddFieldsIsRefused)
{
    for (const std::string& odd : oddValues())
    {
        const std::vector<std::string> texts{odd, R"({"workspace":"w","scope":)" + odd + "}", R"({"scope":"admin"})",
                                             R"({"workspace":)" + odd + R"(,"scope":"read"})"};
        for (const std::string& text : texts)
        {
            support::FakeStore store;
            api::Tokens        tokens(store, "admin");
            const auto         token = tokens.make("w", api::Scope::Read);
            BOOST_REQUIRE(token.has_value());
            auto items = store.range("").items;
            BOOST_REQUIRE(items.size() == 1U);
            (void)store.compareAndSwap({items[0].key, text, items[0].revision, 0});
            bool unavailable = false;
            BOOST_TEST((!tokens.check(*token, unavailable) || text.find("u0000") != std::string::npos));
            BOOST_TEST(!unavailable);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
