#pragma once

#include <cstdint>
#include <random>

namespace Pimentohollow
{

/**
 * Seeded random source, passed in wherever a decision is randomised, so that tests and benchmarks repeat.
 * Not for secrets: keys and request ids come from the cryptographic source. Not thread-safe.
 */
class Random
{
public:
    explicit Random(std::uint64_t seed);

    /** Uniform integer in [0, bound); @p bound must be positive. */
    std::uint64_t below(std::uint64_t bound);

    /** Uniform real number in [0, 1). */
    double unit();

    /** Exponentially distributed value with the given mean. */
    double exponential(double mean);

    /** The engine, for the distributions and shuffles of the standard library. */
    std::mt19937_64 &engine();

private:
    std::mt19937_64 m_engine;
};

} // namespace Pimentohollow
