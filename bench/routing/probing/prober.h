#pragma once

#include "routing/health/greedycycliccusum.h"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace Pimentohollow::Bench
{

/** Chooses which upstream is probed next and raises the alarm; samples are latencies standardised against the baseline. */
class Prober
{
public:
    virtual ~Prober() = default;

    /** The upstream to probe next. */
    virtual std::size_t target() const = 0;

    /** Takes the sample of target(); true on an alarm about that upstream. */
    virtual bool onSample(double sample) = 0;
};

/** The module's rule. */
class GreedyCyclicProber : public Prober
{
public:
    GreedyCyclicProber(std::size_t upstreams, const GreedyCyclicCusum::Parameters &parameters)
        : m_rule(upstreams, parameters)
    {
    }

    std::size_t target() const override
    {
        return m_rule.target();
    }

    bool onSample(double sample) override
    {
        return m_rule.onSample(sample);
    }

private:
    GreedyCyclicCusum m_rule;
};

/** Probes all upstreams in turn, one sample each, with a CUSUM per upstream for the shift @p design. */
class PlainCyclicCusum : public Prober
{
public:
    PlainCyclicCusum(std::size_t upstreams, double threshold, double design)
        : m_threshold(threshold)
        , m_design(design)
        , m_statistics(upstreams)
    {
    }

    std::size_t target() const override
    {
        return m_target;
    }

    bool onSample(double sample) override
    {
        auto &statistic = m_statistics[m_target];
        statistic = std::max(statistic, 0.0) + m_design * sample - m_design * m_design / 2.0;
        m_target = (m_target + 1) % m_statistics.size();
        return statistic >= m_threshold;
    }

private:
    double m_threshold;
    double m_design;
    std::vector<double> m_statistics;
    std::size_t m_target = 0;
};

/**
 * The simple rule: probes in turn; a sample above the limit is a failure and makes the upstream a suspect, which is probed
 * until there are n failures in a row (alarm) or n successes in a row (cleared).
 */
class RunsRule : public Prober
{
public:
    RunsRule(std::size_t upstreams, double limit, std::size_t runLength)
        : m_upstreams(upstreams)
        , m_limit(limit)
        , m_runLength(runLength)
    {
    }

    std::size_t target() const override
    {
        return m_target;
    }

    bool onSample(double sample) override
    {
        const bool failed = sample > m_limit;
        m_failures = failed ? m_failures + 1 : 0;
        m_successes = failed ? 0 : m_successes + 1;
        m_suspect = m_suspect || failed;
        if (m_failures >= m_runLength) {
            return true;
        }
        if (!m_suspect || m_successes >= m_runLength) {
            m_target = (m_target + 1) % m_upstreams;
            m_failures = 0;
            m_successes = 0;
            m_suspect = false;
        }
        return false;
    }

private:
    std::size_t m_upstreams;
    double m_limit;
    std::size_t m_runLength;
    std::size_t m_target = 0;
    std::size_t m_failures = 0;
    std::size_t m_successes = 0;
    bool m_suspect = false;
};

} // namespace Pimentohollow::Bench
