#include "../../src/sailpath/gateway/AnswerMatcher.hpp"
#include "../../src/sailpath/gateway/AnswerHead.hpp"

#include <support/GatewayFixture.hpp>

#include <boost/test/unit_test.hpp>

#include <deque>
#include <random>

namespace
{
using namespace sailpath;
using balance::AttemptEnd;
using gateway::priv::AnswerMatch;
using gateway::priv::AnswerMatcher;

const gateway::Dialect dialect = support::testDialect();

////////////////////////////////////////////////////////////
http::Head headOf(unsigned status, std::string_view id, std::vector<http::HeaderField> fields = {})
{
    http::Head head;
    head.status = status;
    head.fields = std::move(fields);
    if (!id.empty())
        head.fields.push_back({"X-Id", std::string(id)});
    return head;
}

////////////////////////////////////////////////////////////
http::Head rejection(unsigned status, std::string_view id)
{
    return headOf(status, id, {{"X-Not-Run", "full"}});
}

////////////////////////////////////////////////////////////
/// \brief How a rule assigns an answer to the request in progress and chooses connections
////////////////////////////////////////////////////////////
class Rule
{
public:
    virtual ~Rule() = default;

    virtual void                      begin() = 0; //!< A new connection
    [[nodiscard]] virtual bool        maySend(std::string_view id) const = 0;
    virtual void                      send(std::string_view id) = 0;
    [[nodiscard]] virtual AnswerMatch match(const http::Head& head) = 0;
};

////////////////////////////////////////////////////////////
class MatcherRule : public Rule
{
public:
    void begin() override
    {
        m_matcher = AnswerMatcher(dialect);
    }

    [[nodiscard]] bool maySend(std::string_view id) const override
    {
        return id.empty() || m_matcher.maySend(id);
    }

    void send(std::string_view id) override
    {
        m_matcher.send(id);
    }

    [[nodiscard]] AnswerMatch match(const http::Head& head) override
    {
        return m_matcher.match(head);
    }

private:
    AnswerMatcher m_matcher{dialect};
};

////////////////////////////////////////////////////////////
/// \brief Sends an id any number of times on a connection
////////////////////////////////////////////////////////////
class RepeatedIdRule : public MatcherRule
{
public:
    [[nodiscard]] bool maySend(std::string_view) const override
    {
        return true;
    }
};

////////////////////////////////////////////////////////////
/// \brief Takes each failure without an id for the answer to the request in progress
////////////////////////////////////////////////////////////
class FailureWithoutIdRule : public MatcherRule
{
public:
    void send(std::string_view id) override
    {
        m_id = id;
        MatcherRule::send(id);
    }

    [[nodiscard]] AnswerMatch match(const http::Head& head) override
    {
        const bool unidentified = head.status >= 300 && head.field("X-Id").empty();
        return unidentified && !m_id.empty() ? AnswerMatch::Expected : MatcherRule::match(head);
    }

private:
    std::string m_id;
};

////////////////////////////////////////////////////////////
/// \brief Model of one connection to a server that repeats answers late, with answers of others between
////////////////////////////////////////////////////////////
class OrderModel
{
public:
    OrderModel(Rule& rule, std::uint64_t seed) :
    m_rule(rule),
    m_random(seed)
    {
    }

    /// \brief Play one order of exchanges; return how many were answered falsely
    unsigned play()
    {
        m_rule.begin();
        m_late.clear();
        m_sentIds.clear();
        unsigned   falseAnswers = 0;
        const auto exchanges = 2 + below(10);
        for (unsigned number = 0; number < exchanges; ++number)
        {
            const std::string id = chooseId(number);
            if (!m_rule.maySend(id))
                continue;
            m_rule.send(id);
            m_sentIds.push_back(id);
            const Exchange exchange = serve(id, number);
            bool           open = true;
            falseAnswers += receive(exchange, open) ? 0 : 1;
            if (!open)
                break;
        }
        return falseAnswers;
    }

private:
    struct Exchange
    {
        bool                    ran{false}; //!< The server runs the request
        std::string             signature;  //!< Of its answer
        std::vector<http::Head> answers;    //!< In the order of arrival; the server's own is the last
    };

    unsigned below(unsigned bound)
    {
        return std::uniform_int_distribution<unsigned>(0, bound - 1)(m_random);
    }

    std::string chooseId(unsigned number)
    {
        const unsigned kind = below(10);
        if (kind < 4)
            return {};
        if (kind < 6 && !m_sentIds.empty())
            return m_sentIds[below(static_cast<unsigned>(m_sentIds.size()))];
        return "r" + std::to_string(number);
    }

    Exchange serve(const std::string& id, unsigned number)
    {
        Exchange exchange;
        exchange.ran = below(2) == 0;
        exchange.signature = "m" + std::to_string(number);
        constexpr std::array rejections{503U, 429U, 421U, 408U, 400U};
        const http::Head own = exchange.ran ? headOf(below(8) == 0 ? 500 : 200, id, {{"X-Mark", exchange.signature}})
                                            : rejection(rejections[below(rejections.size())], id);
        while (!m_late.empty() && below(2) == 0)
        {
            exchange.answers.push_back(m_late.front());
            m_late.pop_front();
        }
        addForeign(exchange.answers);
        exchange.answers.push_back(own);
        if (below(3) == 0)
            m_late.push_back(own);
        return exchange;
    }

    void addForeign(std::vector<http::Head>& answers)
    {
        if (below(8) == 0)
            answers.push_back(headOf(100, {}));
        if (below(8) == 0)
            answers.push_back(rejection(503, "foreign"));
        if (below(16) == 0)
            answers.push_back(rejection(503, {}));
        std::shuffle(answers.begin(), answers.end(), m_random);
    }

    /// \brief Assign the answers of one exchange; return false if the caller is told what is untrue
    bool receive(const Exchange& exchange, bool& open)
    {
        for (const http::Head& head : exchange.answers)
        {
            const AnswerMatch match = m_rule.match(head);
            if (match == AnswerMatch::Unidentified)
                open = false;
            if (match == AnswerMatch::Unidentified)
                return true;
            if (match != AnswerMatch::Expected)
                continue;
            const bool healthCheck = m_sentIds.back().empty();
            const auto outcome = gateway::priv::classifyAnswer(head, dialect);
            // When an earlier answer was taken for this one, its own answer is still unread, and the connection ends.
            open = &head == &exchange.answers.back();
            if (healthCheck)
                return true;
            if (outcome.end == AttemptEnd::NotRun)
                return !exchange.ran;
            return outcome.end != AttemptEnd::Answered || head.field("X-Mark") == exchange.signature;
        }
        return true;
    }

    Rule&                    m_rule;    //!< What is tested
    std::mt19937_64          m_random;  //!< Source of all choices
    std::deque<http::Head>   m_late;    //!< Second answers that have not arrived
    std::vector<std::string> m_sentIds; //!< Of all exchanges of the connection
};

////////////////////////////////////////////////////////////
unsigned countFalseAnswers(Rule& rule, std::uint64_t seeds)
{
    unsigned count = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        const unsigned found = OrderModel(rule, seed).play();
        if (found > 0 && count == 0)
            BOOST_TEST_MESSAGE("first false answer: seed " << seed);
        count += found;
    }
    return count;
}

} // namespace

BOOST_AUTO_TEST_SUITE(AnswerMatcherTest)

BOOST_AUTO_TEST_CASE(NoOrderOfLateRepeatedAndForeignAnswersMakesAFalseAnswer)
{
    MatcherRule rule;
    BOOST_TEST(countFalseAnswers(rule, 100'000) == 0U);
}

BOOST_AUTO_TEST_CASE(TheModelFindsRulesThatMakeFalseAnswers)
{
    FailureWithoutIdRule failureWithoutId;
    BOOST_TEST(countFalseAnswers(failureWithoutId, 1000) > 0U);
    RepeatedIdRule repeatedId;
    BOOST_TEST(countFalseAnswers(repeatedId, 1000) > 0U);
}

BOOST_AUTO_TEST_CASE(ALateSecondHealthAnswerIsSkippedOnce)
{
    AnswerMatcher matcher(dialect);
    matcher.send({});
    BOOST_TEST((matcher.match(rejection(503, {})) == AnswerMatch::Expected));
    matcher.send("a1");
    BOOST_TEST((matcher.match(rejection(503, {})) == AnswerMatch::Other));
    BOOST_TEST((matcher.match(rejection(503, {})) == AnswerMatch::Unidentified));
}

BOOST_AUTO_TEST_CASE(AnIdIsNotSentAgainAfterItsAnswer)
{
    AnswerMatcher matcher(dialect);
    BOOST_TEST(matcher.maySend("a1"));
    matcher.send("a1");
    BOOST_TEST((matcher.match(rejection(503, "a0")) == AnswerMatch::Other));
    BOOST_TEST((matcher.match(rejection(503, "a1")) == AnswerMatch::Expected));
    BOOST_TEST(!matcher.maySend("a1"));
    BOOST_TEST(matcher.maySend("a2"));
}

BOOST_AUTO_TEST_CASE(ARequestWithoutAnIdNeedsAConnectionWithoutHealthAnswers)
{
    AnswerMatcher matcher(dialect);
    BOOST_TEST(matcher.maySend({}));
    matcher.send({});
    BOOST_TEST((matcher.match(headOf(200, {})) == AnswerMatch::Expected));
    BOOST_TEST(!matcher.maySend({}));
}

BOOST_AUTO_TEST_SUITE_END()
