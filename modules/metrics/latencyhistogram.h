#pragma once

#include "core/clock.h"

#include <boost/histogram.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace Pimentohollow
{

/**
 * Counts durations in buckets whose bounds grow by a constant factor from 100 us to 100 s.
 * Recording is lock-free and may happen from any thread.
 */
class LatencyHistogram
{
public:
    LatencyHistogram();

    void record(Duration value);

    /** Number of recorded values. */
    std::uint64_t count() const;

    /** Upper bound of the bucket that holds the quantile @p q in [0, 1]; zero without values. */
    Duration quantile(double q) const;

    /** Lines of the Prometheus text format: cumulative buckets, sum and count. @param labels "key=\"value\"" or empty */
    std::string prometheusText(const std::string &name, const std::string &labels) const;

private:
    using Axis = boost::histogram::axis::variable<double>;
    using Count = boost::histogram::accumulators::thread_safe<std::uint64_t>;
    using Histogram = boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<Count>>;

    Histogram m_histogram;
    std::atomic<std::uint64_t> m_sumNanos{ 0 };
};

} // namespace Pimentohollow
