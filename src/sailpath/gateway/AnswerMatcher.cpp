#include "AnswerMatcher.hpp"

#include <algorithm>
#include <functional>

namespace sailpath::gateway::priv
{
namespace
{
constexpr unsigned firstRedirectStatus = 300;
constexpr unsigned statusMisdirected = 421;

} // namespace

////////////////////////////////////////////////////////////
AnswerMatcher::AnswerMatcher(const Dialect& dialect) :
m_dialect(&dialect)
{
}

////////////////////////////////////////////////////////////
bool AnswerMatcher::maySend(std::string_view requestId) const
{
    if (requestId.empty())
        return m_answersWithoutId == 0;
    const auto end = m_answeredIds.begin() + static_cast<std::ptrdiff_t>(std::min(m_answersWithId, rememberedIds));
    return std::find(m_answeredIds.begin(), end, std::hash<std::string_view>{}(requestId)) == end;
}

////////////////////////////////////////////////////////////
void AnswerMatcher::send(std::string_view requestId)
{
    m_requestId = requestId;
}

////////////////////////////////////////////////////////////
bool AnswerMatcher::isExpected(const http::Head& head) const
{
    return http::isFinalStatus(head.status) && head.field(m_dialect->requestId) == m_requestId;
}

////////////////////////////////////////////////////////////
AnswerMatch AnswerMatcher::match(const http::Head& head)
{
    if (!http::isFinalStatus(head.status))
        return AnswerMatch::Interim;
    if (isExpected(head))
    {
        remember(m_requestId);
        return AnswerMatch::Expected;
    }
    const bool success = head.status < firstRedirectStatus;
    if (success || !head.field(m_dialect->requestId).empty())
        return AnswerMatch::Other;
    if (m_answersWithoutId == 0)
        return AnswerMatch::Unidentified;
    --m_answersWithoutId;
    return AnswerMatch::Other;
}

////////////////////////////////////////////////////////////
void AnswerMatcher::remember(std::string_view requestId)
{
    if (requestId.empty())
        ++m_answersWithoutId;
    else
        m_answeredIds[m_answersWithId++ % rememberedIds] = std::hash<std::string_view>{}(requestId);
}

////////////////////////////////////////////////////////////
bool provesNotRun(const http::Head& expected, const Dialect& dialect)
{
    return expected.has(dialect.notExecuted) || expected.status == statusMisdirected;
}

} // namespace sailpath::gateway::priv
