#pragma once

#include <sailpath/core/Time.hpp>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <string>
#include <string_view>

namespace sailpath::metrics::priv
{
////////////////////////////////////////////////////////////
/// \brief Quantiles of durations, estimated as they come
////////////////////////////////////////////////////////////
class Quantiles
{
public:
    Quantiles();

    void record(core::Duration duration); //!< One more

    ////////////////////////////////////////////////////////////
    /// \brief Append them as a summary in Prometheus' text format, in seconds; nothing when none was recorded
    ///
    /// \param name   Of the metric
    /// \param labels Of the series, `key="value"` joined by commas
    ////////////////////////////////////////////////////////////
    void append(std::string& text, std::string_view name, std::string_view labels) const;

private:
    using Seconds = boost::accumulators::accumulator_set<
        double, boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
                                           boost::accumulators::tag::extended_p_square_quantile>>;

    Seconds m_seconds; //!< Recorded
};

} // namespace sailpath::metrics::priv
