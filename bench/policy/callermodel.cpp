#include "callermodel.h"

namespace Pimentohollow
{

namespace
{

constexpr std::uint32_t HardResends = 5;
constexpr double HardResendMeanSeconds = 0.04;

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

CallerModel::CallerModel(const Experiment &experiment, Random &random)
    : m_experiment(experiment)
    , m_random(random)
{
}

Duration CallerModel::gap(std::size_t account, Duration now)
{
    double rate = BaseLoad * capacity(m_experiment.deployment, 1.0) * AccountRates[account];
    if (now >= WarmUp && now < WarmUp + TriggerLength) {
        rate *= m_experiment.scenario.demandFactor;
        rate *= account == HogAccount ? m_experiment.scenario.hogFactor : 1.0;
    }
    return fromSeconds(m_random.exponential(1.0 / rate));
}

CallerRequest CallerModel::newRequest(std::size_t account, Duration now)
{
    return { account, m_random.unit() < ImportantShare ? Priority::Important : Priority::Normal, now, 0 };
}

std::optional<Duration> CallerModel::resendDelay(const CallerRequest &request)
{
    if (!m_experiment.scenario.retryHard || request.resends >= HardResends) {
        return std::nullopt;
    }
    return fromSeconds(m_random.exponential(HardResendMeanSeconds));
}

} // namespace Pimentohollow
