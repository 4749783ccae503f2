#pragma once

#include "metrics/latencyhistogram.h"

#include <atomic>
#include <functional>
#include <initializer_list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace Pimentohollow
{

/** A number that only grows. */
class Counter
{
public:
    void add(std::uint64_t count = 1)
    {
        m_value += count;
    }

    std::uint64_t value() const
    {
        return m_value;
    }

private:
    std::atomic<std::uint64_t> m_value{ 0 };
};

struct MetricLabel {
    std::string_view key;
    std::string_view value;
};

using MetricLabels = std::initializer_list<MetricLabel>;

/**
 * All metrics of a process, for the Prometheus text format. Thread-safe.
 * Counters and histograms are created on first use and stay valid as long as the registry.
 */
class MetricRegistry
{
public:
    Counter &counter(const std::string &name, MetricLabels labels = {});
    LatencyHistogram &histogram(const std::string &name, MetricLabels labels = {});

    /** Registers a value that is read when the metrics are. */
    void gauge(const std::string &name, std::function<double()> read, MetricLabels labels = {});

    std::string prometheusText() const;

private:
    template <typename Metric>
    using Family = std::map<std::string, std::map<std::string, Metric>>;

    mutable std::mutex m_mutex;
    Family<std::unique_ptr<Counter>> m_counters;
    Family<std::unique_ptr<LatencyHistogram>> m_histograms;
    Family<std::function<double()>> m_gauges;
};

} // namespace Pimentohollow
