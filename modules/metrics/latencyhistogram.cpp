#include "metrics/latencyhistogram.h"

#include <cmath>
#include <fmt/format.h>

namespace Pimentohollow
{

namespace
{

constexpr double FirstBoundSeconds = 100e-6;
constexpr double LastBoundSeconds = 100.0;
/** Five buckets per power of ten: a quantile is off by at most the factor 1.6. */
constexpr int BucketsPerDecade = 5;
constexpr int Decades = 6;

std::vector<double> bounds()
{
    std::vector<double> result{ 0.0 };
    for (int n = 0; n <= BucketsPerDecade * Decades; ++n) {
        result.push_back(FirstBoundSeconds * std::pow(10.0, static_cast<double>(n) / BucketsPerDecade));
    }
    result.back() = LastBoundSeconds;
    return result;
}

} // namespace

LatencyHistogram::LatencyHistogram()
    : m_histogram(std::make_tuple(Axis(bounds())))
{
}

void LatencyHistogram::record(Duration value)
{
    m_histogram(std::chrono::duration<double>(value).count());
    m_sumNanos += static_cast<std::uint64_t>(std::max<Duration::rep>(value.count(), 0));
}

std::uint64_t LatencyHistogram::count() const
{
    std::uint64_t total = 0;
    for (const auto &it : m_histogram) {
        total += it.load();
    }
    return total;
}

Duration LatencyHistogram::quantile(double q) const
{
    const std::uint64_t total = count();
    if (total == 0) {
        return Duration::zero();
    }
    const auto rank = std::max<std::uint64_t>(1, static_cast<std::uint64_t>(std::ceil(q * static_cast<double>(total))));
    const auto &axis = m_histogram.axis(0);
    std::uint64_t seen = m_histogram.at(-1).load();
    for (int n = 0; n < axis.size(); ++n) {
        seen += m_histogram.at(n).load();
        if (seen >= rank) {
            return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(axis.value(n + 1)));
        }
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(LastBoundSeconds));
}

std::string LatencyHistogram::prometheusText(const std::string &name, const std::string &labels) const
{
    const std::string separator = labels.empty() ? "" : ",";
    const std::string braces = labels.empty() ? "" : "{" + labels + "}";
    const auto &axis = m_histogram.axis(0);
    std::string text;
    std::uint64_t seen = m_histogram.at(-1).load();
    for (int n = 0; n < axis.size(); ++n) {
        seen += m_histogram.at(n).load();
        text += fmt::format("{}_bucket{{{}{}le=\"{:.6g}\"}} {}\n", name, labels, separator, axis.value(n + 1), seen);
    }
    const std::uint64_t total = seen + m_histogram.at(axis.size()).load();
    text += fmt::format("{}_bucket{{{}{}le=\"+Inf\"}} {}\n", name, labels, separator, total);
    text += fmt::format("{}_sum{} {:.9f}\n", name, braces, static_cast<double>(m_sumNanos.load()) * 1e-9);
    text += fmt::format("{}_count{} {}\n", name, braces, total);
    return text;
}

} // namespace Pimentohollow
