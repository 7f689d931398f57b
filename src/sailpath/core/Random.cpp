#include <sailpath/core/Random.hpp>

#include <cassert>

namespace sailpath::core
{
////////////////////////////////////////////////////////////
Random::Random(std::uint64_t seed) :
m_engine(seed)
{
}

////////////////////////////////////////////////////////////
std::size_t Random::below(std::size_t bound)
{
    assert(bound > 0);
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(m_engine);
}

////////////////////////////////////////////////////////////
double Random::unit()
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(m_engine);
}

////////////////////////////////////////////////////////////
double Random::exponential(double mean)
{
    return std::exponential_distribution<double>(1.0 / mean)(m_engine);
}

} // namespace sailpath::core
