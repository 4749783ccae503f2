#include "routing/health/greedycycliccusum.h"

#include <algorithm>
#include <cassert>

namespace Pimentohollow
{

GreedyCyclicCusum::GreedyCyclicCusum(std::size_t streams, const Parameters &parameters)
    : m_streams(streams)
    , m_parameters(parameters)
{
    assert(streams > 0);
}

bool GreedyCyclicCusum::onSample(double sample)
{
    const auto &[threshold, smallest, largest, longestStay] = m_parameters;
    // Without earlier samples of this stay their mean is 0/0 = -infinity, so that the estimate is the smallest shift.
    const double theta = m_samples == 0 ? smallest : std::clamp(m_sum / static_cast<double>(m_samples), smallest, largest);
    m_statistic = std::max(m_statistic, 0.0) + theta * sample - theta * theta / 2.0;
    m_sum += sample;
    ++m_samples;
    const bool alarm = m_statistic >= threshold;
    if (alarm || m_statistic <= 0.0 || m_samples >= longestStay) {
        moveOn();
    }
    return alarm;
}

void GreedyCyclicCusum::moveOn()
{
    m_target = (m_target + 1) % m_streams;
    m_samples = 0;
    m_sum = 0;
    m_statistic = 0;
}

} // namespace Pimentohollow
