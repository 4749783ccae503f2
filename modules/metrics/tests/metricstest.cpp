#include "metrics/metrics.h"

#include <gtest/gtest.h>
#include <thread>

using namespace Pimentohollow;
using namespace std::chrono_literals;

// Guards against quantiles that lie below recorded values, and against values lost beyond the last bound.
TEST(LatencyHistogramTest, QuantilesCoverRecordedValues)
{
    LatencyHistogram histogram;
    EXPECT_EQ(histogram.quantile(0.99), Duration::zero());
    for (int n = 0; n < 99; ++n) {
        histogram.record(1ms);
    }
    histogram.record(1h);
    EXPECT_EQ(histogram.count(), 100U);
    EXPECT_GE(histogram.quantile(0.5), 1ms);
    EXPECT_LT(histogram.quantile(0.5), 2ms);
    EXPECT_EQ(histogram.quantile(1.0), 100s);
}

// Guards against lost counts when several threads record.
TEST(LatencyHistogramTest, CountsFromSeveralThreads)
{
    constexpr int Count = 10000;
    LatencyHistogram histogram;
    const auto recordAll = [&histogram] {
        for (int n = 0; n < Count; ++n) {
            histogram.record(2ms);
        }
    };
    std::thread first(recordAll);
    std::thread second(recordAll);
    first.join();
    second.join();
    EXPECT_EQ(histogram.count(), 2U * Count);
}

// Guards against text that Prometheus can't parse: missing types, unescaped label values, non-cumulative buckets.
TEST(MetricRegistryTest, WritesPrometheusText)
{
    MetricRegistry registry;
    registry.counter("requests_total", { { "route", "a\"b" } }).add(3);
    registry.gauge("in_flight", [] {
        return 7.0;
    });
    registry.histogram("latency_seconds").record(1ms);
    const std::string text = registry.prometheusText();
    EXPECT_NE(text.find("# TYPE requests_total counter\nrequests_total{route=\"a\\\"b\"} 3\n"), std::string::npos);
    EXPECT_NE(text.find("# TYPE in_flight gauge\nin_flight 7\n"), std::string::npos);
    EXPECT_NE(text.find("latency_seconds_bucket{le=\"+Inf\"} 1\n"), std::string::npos);
    EXPECT_NE(text.find("latency_seconds_bucket{le=\"0.0001\"} 0\n"), std::string::npos);
    EXPECT_NE(text.find("latency_seconds_count 1\n"), std::string::npos);
}
