#pragma once

#include <cstddef>

namespace Pimentohollow
{

/**
 * Quickest detection of the one stream among several whose mean has risen, observing one stream at a time: greedy cyclic sampling
 * CUSUM of Xu and Mei 2023 (Sequential Analysis 42(2)) for samples with mean 0 and variance 1 (psi(theta) = theta^2 / 2).
 *
 * It stays on a stream while its statistic is positive and moves on cyclically when it falls to zero. The size of the shift is estimated
 * from the earlier samples of the stay. For Gaussian samples the mean number of samples to a false alarm is at least e^threshold.
 */
class GreedyCyclicCusum
{
public:
    struct Parameters {
        double threshold = 0;
        /** Smallest shift that the estimate takes, and the estimate at the first sample of a stay; the paper's delta. */
        double smallestShift = 1.0;
        /** Largest shift that the estimate takes; the paper's zeta. */
        double largestShift = 8.0;
        /** Most samples of one stay; the paper's q. */
        std::size_t longestStay = 100;
    };

    GreedyCyclicCusum(std::size_t streams, const Parameters &parameters);

    /** The stream to observe next. */
    std::size_t target() const
    {
        return m_target;
    }

    /** Takes a sample of target(); true on an alarm about it, after which the next stream's turn begins. */
    bool onSample(double sample);

private:
    void moveOn();

    std::size_t m_streams;
    Parameters m_parameters;
    std::size_t m_target = 0;
    std::size_t m_samples = 0;
    double m_sum = 0;
    double m_statistic = 0;
};

} // namespace Pimentohollow
