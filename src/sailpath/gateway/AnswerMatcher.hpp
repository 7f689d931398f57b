#pragma once

#include <sailpath/gateway/Dialect.hpp>
#include <sailpath/http/Head.hpp>

#include <array>
#include <cstddef>
#include <string>
#include <string_view>

namespace sailpath::gateway::priv
{
////////////////////////////////////////////////////////////
/// \brief What an answer on a connection to a server belongs to
////////////////////////////////////////////////////////////
enum class AnswerMatch
{
    Expected,    //!< The request in progress
    Interim,     //!< The request in progress, whose final answer follows
    Other,       //!< Another request or an earlier health check; the expected answer may follow
    Unidentified //!< Unknown: a failure without a request id. It proves nothing, and no other answer need follow
};

////////////////////////////////////////////////////////////
/// \brief Tells answers to the request in progress on one connection from late, repeated and foreign ones
///
/// A server repeats the id of a request in its answer and may send any answer a second time, later. So an answer belongs
/// to a request by its id only. A health check has no id, and neither has its answer.
////////////////////////////////////////////////////////////
class AnswerMatcher
{
public:
    explicit AnswerMatcher(const Dialect& dialect); //!< `dialect` outlives the matcher

    /// \brief Whether a request may be sent: false after an answer with the same id, which may come a second time
    [[nodiscard]] bool maySend(std::string_view requestId) const;

    void send(std::string_view requestId); //!< A request is sent; a health check has an empty id

    /// \brief Whether a final answer belongs to the request in progress
    [[nodiscard]] bool isExpected(const http::Head& head) const;

    ////////////////////////////////////////////////////////////
    /// \brief Assign an answer, once for each answer
    ///
    /// After `Expected` and `Unidentified` no request is in progress.
    ////////////////////////////////////////////////////////////
    [[nodiscard]] AnswerMatch match(const http::Head& head);

private:
    static constexpr std::size_t rememberedIds = 16;

    void remember(std::string_view requestId);

    const Dialect*                         m_dialect;             //!< Names of header fields
    std::string                            m_requestId;           //!< Of the request in progress
    std::size_t                            m_answersWithoutId{0}; //!< Expected ones; each may come a second time
    std::array<std::size_t, rememberedIds> m_answeredIds{};       //!< Hashes of the last ids that were answered
    std::size_t                            m_answersWithId{0};    //!< Expected ones
};

////////////////////////////////////////////////////////////
/// \brief Whether an answer proves that its request has not run and never will
///
/// Holds only for a head that `AnswerMatcher` assigned as `Expected`. Nothing else that a server sends is a proof; see
/// docs/design/at-most-once.md.
////////////////////////////////////////////////////////////
[[nodiscard]] bool provesNotRun(const http::Head& expected, const Dialect& dialect);

} // namespace sailpath::gateway::priv
