#pragma once

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

/**
 * Greedy cyclic sampling CUSUM of Xu and Mei 2023 (Sequential Analysis 42(2)) for unit-variance Gaussian samples: psi(theta) =
 * theta^2 / 2, theta_0 = 0. Stays on an upstream while its statistic is positive, for at most q samples.
 */
class GreedyCyclicCusum : public Prober
{
public:
    /** Largest shift that the estimate takes. */
    static constexpr double Zeta = 8.0;

    /**
     * @param delta smallest shift that the estimate takes, and the estimate of the first sample of a stay
     * @param longestStay the paper's q
     */
    GreedyCyclicCusum(std::size_t upstreams, double threshold, double delta, std::size_t longestStay)
        : m_upstreams(upstreams)
        , m_threshold(threshold)
        , m_delta(delta)
        , m_longestStay(longestStay)
    {
    }

    std::size_t target() const override
    {
        return m_target;
    }

    bool onSample(double sample) override
    {
        // Without earlier samples of this stay the mean is 0/0 = -infinity, so that the estimate is delta.
        const double theta = m_samples == 0 ? m_delta : std::clamp(m_sum / double(m_samples), m_delta, Zeta);
        m_statistic = std::max(m_statistic, 0.0) + theta * sample - theta * theta / 2.0;
        m_sum += sample;
        ++m_samples;
        if (m_statistic >= m_threshold) {
            return true;
        }
        if (m_statistic <= 0.0 || m_samples >= m_longestStay) {
            m_target = (m_target + 1) % m_upstreams;
            m_statistic = 0.0;
            m_sum = 0.0;
            m_samples = 0;
        }
        return false;
    }

private:
    std::size_t m_upstreams;
    double m_threshold;
    double m_delta;
    std::size_t m_longestStay;
    std::size_t m_target = 0;
    std::size_t m_samples = 0;
    double m_sum = 0.0;
    double m_statistic = 0.0;
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
