#pragma once

namespace sailpath::retries
{
////////////////////////////////////////////////////////////
/// \brief Token bucket that limits retries to a share of first attempts
///
/// However many requests fail, the total number of attempts stays below
/// (1 + share) x requests plus the few tokens of the bucket.
////////////////////////////////////////////////////////////
class RetryBudget
{
public:
    static constexpr double maxTokens = 10.0; //!< Capacity of the bucket in retries

    ////////////////////////////////////////////////////////////
    /// \brief Create a budget
    ///
    /// \param share Retries as a share of first attempts
    ////////////////////////////////////////////////////////////
    explicit RetryBudget(double share);

    ////////////////////////////////////////////////////////////
    /// \brief Change the share and keep the accrued tokens
    ////////////////////////////////////////////////////////////
    void setShare(double share);

    ////////////////////////////////////////////////////////////
    /// \brief Record a first attempt, which adds `share` tokens
    ////////////////////////////////////////////////////////////
    void recordFirstAttempt();

    ////////////////////////////////////////////////////////////
    /// \brief Consume the token for one retry if there is one
    ///
    /// \return Whether the retry is allowed
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool tryConsume();

private:
    double m_share;       //!< Retries as a share of first attempts
    double m_tokens{1.0}; //!< Retries allowed at present
};

} // namespace sailpath::retries
