#pragma once

#include <sailpath/core/Time.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace sailpath::metrics
{
////////////////////////////////////////////////////////////
/// \brief How long requests spent before and after their time at servers, by route
///
/// Belongs to one thread. The first routes that are seen, up to a bound,
/// are told apart; the rest share one series.
////////////////////////////////////////////////////////////
class StageTimes
{
public:
    StageTimes();
    ~StageTimes();
    StageTimes(const StageTimes&) = delete;
    StageTimes& operator=(const StageTimes&) = delete;

    ////////////////////////////////////////////////////////////
    /// \brief Note a request that is done
    ///
    /// \param decision From its first byte to its first send or its refusal
    /// \param turn     From its answer to the end of the answers before it on its connection
    ////////////////////////////////////////////////////////////
    void record(std::string_view route, core::Duration decision, core::Duration turn);

    [[nodiscard]] std::string text() const; //!< In Prometheus' text format

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl; //!< Quantiles
};

} // namespace sailpath::metrics
