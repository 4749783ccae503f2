#pragma once

#include "core/enumtable.h"
#include "core/manualclock.h"
#include "routing/routing.h"

#include <optional>
#include <vector>

namespace Pimentohollow::Bench
{

enum class StrategyKind {
    RoundRobin,
    LeastInFlight, ///< lowest of all, by own counts and the records of the others' calls
    TwoChoicesRecords, ///< two random choices by the same load
    TwoChoices, ///< two random choices by own counts
    TwoChoicesEjection,
    TwoChoicesEjectionSlowStart, ///< what the module does
};

inline constexpr auto StrategyNames = makeEnumTable<StrategyKind>({
    { StrategyKind::RoundRobin, "round robin" },
    { StrategyKind::LeastInFlight, "least in flight" },
    { StrategyKind::TwoChoicesRecords, "two choices by records" },
    { StrategyKind::TwoChoices, "two choices" },
    { StrategyKind::TwoChoicesEjection, "two choices, ejection" },
    { StrategyKind::TwoChoicesEjectionSlowStart, "two choices, ejection, slow start" },
});

/** One entry node's choice. All strategies get the same records and the same own counts. */
class Strategy
{
public:
    Strategy(StrategyKind kind, const Clock &clock, std::uint64_t seed);

    void apply(UpstreamRecord record);
    std::optional<NodeName> choose(const std::vector<NodeName> &tried);
    void started(const NodeName &node);
    void ended(const NodeName &node, AnswerKind kind, Duration latency);

    static const ServiceName Service;

private:
    std::optional<NodeName> chooseInTurn(const std::vector<NodeName> &tried);
    std::optional<NodeName> chooseLeast(const std::vector<const Upstream *> &candidates);
    /** The upstreams that were not tried, all of them or two random ones. */
    std::vector<const Upstream *> candidates(const std::vector<NodeName> &tried, bool onlyTwo);

    StrategyKind m_kind;
    const Clock &m_clock;
    Random m_random;
    UpstreamTable m_table;
    UpstreamSelector m_selector;
    OutlierEjector m_ejector;
    std::size_t m_turn = 0;
};

} // namespace Pimentohollow::Bench
