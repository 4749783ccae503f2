#include "admission/limits/concurrencylimit.h"

#include <limits>

namespace Pimentohollow
{

namespace
{

using Algorithm = std::variant<UnlimitedLimit, StaticLimit, AimdLimit, GradientLimit>;

struct AlgorithmMaker {
    Algorithm operator()(const UnlimitedLimitSettings &settings) const
    {
        return UnlimitedLimit(settings);
    }
    Algorithm operator()(const StaticLimitSettings &settings) const
    {
        return StaticLimit(settings);
    }
    Algorithm operator()(const AimdLimitSettings &settings) const
    {
        return AimdLimit(settings);
    }
    Algorithm operator()(const GradientLimitSettings &settings) const
    {
        return GradientLimit(settings);
    }
};

} // namespace

UnlimitedLimit::UnlimitedLimit(UnlimitedLimitSettings)
{
}

std::uint32_t UnlimitedLimit::limit() const
{
    return std::numeric_limits<std::uint32_t>::max();
}

void UnlimitedLimit::record(const LimitSample &, TimePoint)
{
}

void UnlimitedLimit::restart(TimePoint)
{
}

StaticLimit::StaticLimit(StaticLimitSettings settings)
    : m_limit(settings.limit)
{
}

std::uint32_t StaticLimit::limit() const
{
    return m_limit;
}

void StaticLimit::record(const LimitSample &, TimePoint)
{
}

void StaticLimit::restart(TimePoint)
{
}

ConcurrencyLimit::ConcurrencyLimit(const LimitSettings &settings)
    : m_algorithm(std::visit(AlgorithmMaker{}, settings))
{
}

std::uint32_t ConcurrencyLimit::limit() const
{
    return std::visit(
        [](const auto &algorithm) {
            return algorithm.limit();
        },
        m_algorithm);
}

void ConcurrencyLimit::record(const LimitSample &sample, TimePoint now)
{
    std::visit(
        [&](auto &algorithm) {
            algorithm.record(sample, now);
        },
        m_algorithm);
}

void ConcurrencyLimit::restart(TimePoint now)
{
    std::visit(
        [now](auto &algorithm) {
            algorithm.restart(now);
        },
        m_algorithm);
}

} // namespace Pimentohollow
