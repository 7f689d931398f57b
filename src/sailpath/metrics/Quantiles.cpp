#include "Quantiles.hpp"

#include <array>

namespace sailpath::metrics::priv
{
namespace
{
namespace acc = boost::accumulators;

constexpr std::array<double, 3> quantiles{0.5, 0.99, 0.999};

} // namespace

////////////////////////////////////////////////////////////
Quantiles::Quantiles() :
m_seconds(acc::tag::extended_p_square::probabilities = quantiles)
{
}

////////////////////////////////////////////////////////////
void Quantiles::record(core::Duration duration)
{
    m_seconds(core::toSeconds(duration));
}

////////////////////////////////////////////////////////////
void Quantiles::append(std::string& text, std::string_view name, std::string_view labels) const
{
    const std::size_t count = acc::count(m_seconds);
    if (count == 0)
        return;
    for (const double quantile : quantiles)
    {
        const double value = acc::quantile(m_seconds, acc::quantile_probability = quantile);
        text.append(name).append("{").append(labels).append(",quantile=\"");
        text.append(std::to_string(quantile).substr(0, 5)).append("\"} ").append(std::to_string(value)).append("\n");
    }
    text.append(name).append("_sum{").append(labels).append("} ").append(std::to_string(acc::sum(m_seconds)));
    text.append("\n").append(name).append("_count{").append(labels).append("} ").append(std::to_string(count));
    text.append("\n");
}

} // namespace sailpath::metrics::priv
