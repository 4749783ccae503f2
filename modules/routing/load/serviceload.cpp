#include "routing/load/serviceload.h"

#include <algorithm>
#include <cmath>

namespace Pimentohollow
{

namespace
{

/** Admission that reports at least this is not limiting. */
constexpr double NearlyAll = 0.99;

} // namespace

ServiceLoad::ServiceLoad(const UpstreamTable &table, const Clock &clock, Random &random)
    : m_table(table)
    , m_clock(clock)
    , m_random(random)
{
}

bool ServiceLoad::admit(const ServiceName &service, Priority priority)
{
    const double admitted = share(service, priority);
    return admitted >= 1.0 || m_random.unit() < admitted;
}

double ServiceLoad::share(const ServiceName &service, Priority priority)
{
    auto &state = m_states[service];
    if (m_clock.now() - state.updatedAt >= UpdateInterval) {
        update(service, state);
    }
    return state.shares[static_cast<std::size_t>(priority)];
}

std::array<double, ServiceLoad::PriorityCount> ServiceLoad::reportedShares(const ServiceName &service) const
{
    std::array<double, PriorityCount> admitted{};
    double limits = 0;
    const auto &upstreams = m_table.service(service);
    for (const auto *list : { &upstreams.local, &upstreams.remote }) {
        for (const auto *it : *list) {
            const double limit = std::max(it->record.concurrencyLimit, 1U);
            limits += limit;
            admitted[0] += limit * it->record.normalAdmittedPercent / 100.0;
            admitted[1] += limit * it->record.importantAdmittedPercent / 100.0;
        }
    }
    if (limits == 0) {
        return { 1.0, 1.0 };
    }
    return { admitted[0] / limits, admitted[1] / limits };
}

void ServiceLoad::update(const ServiceName &service, State &state)
{
    const auto now = m_clock.now();
    // After a pause the share grows by one doubling at most, because nothing was learned meanwhile.
    const auto elapsed = std::min<Duration>(now - state.updatedAt, DoublingTime);
    const double growth = std::exp2(std::chrono::duration<double>(elapsed) / std::chrono::duration<double>(DoublingTime));
    const auto serving = reportedShares(service);
    for (std::size_t n = 0; n < PriorityCount; ++n) {
        auto &share = state.shares[n];
        if (serving[n] >= NearlyAll) {
            share *= growth;
        } else if (serving[n] < LeastServing && now - state.reducedAt[n] >= ReductionInterval) {
            share *= serving[n] / ServingTarget;
            state.reducedAt[n] = now;
        }
        share = std::clamp(share, SmallestShare, 1.0);
    }
    state.updatedAt = now;
}

} // namespace Pimentohollow
