#include "core/random.h"

#include <cassert>

namespace Pimentohollow
{

Random::Random(std::uint64_t seed)
    : m_engine(seed)
{
}

std::uint64_t Random::below(std::uint64_t bound)
{
    assert(bound > 0);
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(m_engine);
}

double Random::unit()
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(m_engine);
}

double Random::exponential(double mean)
{
    assert(mean > 0);
    return std::exponential_distribution<double>(1.0 / mean)(m_engine);
}

std::mt19937_64 &Random::engine()
{
    return m_engine;
}

} // namespace Pimentohollow
