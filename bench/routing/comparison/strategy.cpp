#include "strategy.h"

#include <algorithm>

namespace Pimentohollow::Bench
{

const ServiceName Strategy::Service("service");

Strategy::Strategy(StrategyKind kind, const Clock &clock, std::uint64_t seed)
    : m_kind(kind)
    , m_clock(clock)
    , m_random(seed)
    , m_table(DataCentreName("here"))
    , m_selector(m_table, clock, m_random)
    , m_ejector(m_table, clock)
{
}

void Strategy::apply(UpstreamRecord record)
{
    if (m_kind != StrategyKind::TwoChoicesEjectionSlowStart) {
        record.state = UpstreamState::Ready;
    }
    m_table.apply(record, m_clock.now());
}

std::optional<NodeName> Strategy::choose(const std::vector<NodeName> &tried)
{
    if (m_kind == StrategyKind::RoundRobin) {
        return chooseInTurn(tried);
    }
    if (m_kind == StrategyKind::LeastInFlight || m_kind == StrategyKind::TwoChoicesRecords) {
        return chooseLeast(candidates(tried, m_kind == StrategyKind::TwoChoicesRecords));
    }
    const auto selection = m_selector.choose(Service, tried);
    return selection ? std::optional(selection->node) : std::nullopt;
}

void Strategy::started(const NodeName &node)
{
    m_table.callStarted(node);
}

void Strategy::ended(const NodeName &node, AnswerKind kind, Duration latency)
{
    m_table.callEnded(node);
    if (m_kind < StrategyKind::TwoChoicesEjection) {
        return;
    }
    const bool ejected = m_ejector.onAnswer(node, kind, latency);
    if (ejected && m_kind == StrategyKind::TwoChoicesEjection) {
        m_table.find(node)->slowStart.finish();
    }
}

std::optional<NodeName> Strategy::chooseInTurn(const std::vector<NodeName> &tried)
{
    const auto &upstreams = m_table.service(Service).local;
    for (std::size_t n = 0; n < upstreams.size(); ++n) {
        const auto &node = upstreams[m_turn++ % upstreams.size()]->record.node;
        if (std::find(tried.begin(), tried.end(), node) == tried.end()) {
            return node;
        }
    }
    return std::nullopt;
}

std::vector<const Upstream *> Strategy::candidates(const std::vector<NodeName> &tried, bool onlyTwo)
{
    std::vector<const Upstream *> found;
    for (const auto *it : m_table.service(Service).local) {
        if (std::find(tried.begin(), tried.end(), it->record.node) == tried.end()) {
            found.push_back(it);
        }
    }
    std::shuffle(found.begin(), found.end(), m_random.engine());
    if (onlyTwo && found.size() > 2) {
        found.resize(2);
    }
    return found;
}

std::optional<NodeName> Strategy::chooseLeast(const std::vector<const Upstream *> &candidates)
{
    const auto now = m_clock.now();
    const auto least = std::min_element(candidates.begin(), candidates.end(), [now](const Upstream *a, const Upstream *b) {
        return a->recordedLoad(now) < b->recordedLoad(now);
    });
    return least == candidates.end() ? std::nullopt : std::optional((*least)->record.node);
}

} // namespace Pimentohollow::Bench
