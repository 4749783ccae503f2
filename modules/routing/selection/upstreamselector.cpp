#include "routing/selection/upstreamselector.h"

#include <algorithm>

namespace Pimentohollow
{

namespace
{

// With half of the list unusable, eight draws miss two usable entries in 3.5 % of the cases; then the list is scanned.
constexpr int MostDraws = 8;

} // namespace

UpstreamSelector::UpstreamSelector(const UpstreamTable &table, const Clock &clock, Random &random)
    : m_table(table)
    , m_clock(clock)
    , m_random(random)
{
}

std::optional<Selection> UpstreamSelector::choose(const ServiceName &service, const std::vector<NodeName> &tried)
{
    m_now = m_clock.now();
    const auto &upstreams = m_table.service(service);
    for (const auto need : { Need::Room, Need::Overflow, Need::Health, Need::Any }) {
        if (const auto *it = chooseOf(upstreams.local, tried, need)) {
            return Selection{ it->record.node, true };
        }
        if (const auto *it = chooseOf(upstreams.remote, tried, need)) {
            return Selection{ it->record.node, false };
        }
    }
    return std::nullopt;
}

bool UpstreamSelector::isUsable(const Upstream &upstream, const std::vector<NodeName> &tried, Need need)
{
    if (std::find(tried.begin(), tried.end(), upstream.record.node) != tried.end()) {
        return false;
    }
    if (need == Need::Any) {
        return true;
    }
    const bool ejected = upstream.isEjected(m_now);
    const bool takesOverflow = ejected && upstream.health.slow && upstream.ownInFlight < upstream.record.concurrencyLimit;
    if (!upstream.reachable || (need == Need::Overflow ? !takesOverflow : ejected)) {
        return false;
    }
    const double shed = upstream.health.shedShare;
    return need == Need::Health || shed == 0.0 || m_random.unit() >= shed;
}

const Upstream *UpstreamSelector::chooseOf(const std::vector<Upstream *> &list, const std::vector<NodeName> &tried, Need need)
{
    if (list.size() <= 2) {
        return scan(list, tried, need);
    }
    const Upstream *first = nullptr;
    for (int n = 0; n < MostDraws; ++n) {
        const auto *it = list[m_random.below(list.size())];
        if (it == first || !isUsable(*it, tried, need)) {
            continue;
        }
        if (first) {
            return lessLoaded(first, it);
        }
        first = it;
    }
    return scan(list, tried, need);
}

const Upstream *UpstreamSelector::scan(const std::vector<Upstream *> &list, const std::vector<NodeName> &tried, Need need)
{
    // Reservoir sampling of two usable upstreams.
    const Upstream *first = nullptr;
    const Upstream *second = nullptr;
    std::uint64_t seen = 0;
    for (const auto *it : list) {
        if (!isUsable(*it, tried, need)) {
            continue;
        }
        ++seen;
        if (!first) {
            first = it;
        } else if (!second) {
            second = it;
        } else if (const auto slot = m_random.below(seen); slot < 2) {
            (slot == 0 ? first : second) = it;
        }
    }
    return second ? lessLoaded(first, second) : first;
}

const Upstream *UpstreamSelector::lessLoaded(const Upstream *a, const Upstream *b)
{
    // A random part of the coming call breaks ties, and gives a cold upstream its share even when few calls are in flight.
    return a->ownLoad(m_now, m_random.unit()) < b->ownLoad(m_now, m_random.unit()) ? a : b;
}

} // namespace Pimentohollow
