#include "metrics/metricregistry.h"

#include <fmt/format.h>

namespace Pimentohollow
{

namespace
{

std::string escaped(std::string_view value)
{
    std::string result;
    for (const char it : value) {
        if (it == '\n') {
            result += "\\n";
            continue;
        }
        if (it == '"' || it == '\\') {
            result += '\\';
        }
        result += it;
    }
    return result;
}

std::string labelText(MetricLabels labels)
{
    std::string text;
    for (const auto &it : labels) {
        text += fmt::format("{}{}=\"{}\"", text.empty() ? "" : ",", it.key, escaped(it.value));
    }
    return text;
}

std::string braced(const std::string &labels)
{
    return labels.empty() ? "" : "{" + labels + "}";
}

} // namespace

Counter &MetricRegistry::counter(const std::string &name, MetricLabels labels)
{
    const std::lock_guard lock(m_mutex);
    auto &entry = m_counters[name][labelText(labels)];
    if (!entry) {
        entry = std::make_unique<Counter>();
    }
    return *entry;
}

LatencyHistogram &MetricRegistry::histogram(const std::string &name, MetricLabels labels)
{
    const std::lock_guard lock(m_mutex);
    auto &entry = m_histograms[name][labelText(labels)];
    if (!entry) {
        entry = std::make_unique<LatencyHistogram>();
    }
    return *entry;
}

void MetricRegistry::gauge(const std::string &name, std::function<double()> read, MetricLabels labels)
{
    const std::lock_guard lock(m_mutex);
    m_gauges[name][labelText(labels)] = std::move(read);
}

std::string MetricRegistry::prometheusText() const
{
    const std::lock_guard lock(m_mutex);
    std::string text;
    for (const auto &[name, family] : m_counters) {
        text += fmt::format("# TYPE {} counter\n", name);
        for (const auto &[labels, counter] : family) {
            text += fmt::format("{}{} {}\n", name, braced(labels), counter->value());
        }
    }
    for (const auto &[name, family] : m_gauges) {
        text += fmt::format("# TYPE {} gauge\n", name);
        for (const auto &[labels, read] : family) {
            text += fmt::format("{}{} {}\n", name, braced(labels), read());
        }
    }
    for (const auto &[name, family] : m_histograms) {
        text += fmt::format("# TYPE {} histogram\n", name);
        for (const auto &[labels, histogram] : family) {
            text += histogram->prometheusText(name, labels);
        }
    }
    return text;
}

} // namespace Pimentohollow
