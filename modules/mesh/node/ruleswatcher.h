#pragma once

#include "async/loop/eventloop.h"
#include "mesh/model/fleetstore.h"
#include "mesh/model/ruleindex.h"

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace Pimentohollow
{

/**
 * Keeps the newest rules that this node has heard of. A few nodes of each data centre read the rules from the store and pass them on to the
 * others there: a configuration of hundreds of routes, read by every node, was most of the bytes between data centres. A node that has none
 * yet reads them itself, and one that hears of newer rules which nobody passes on asks for them.
 */
class RulesWatcher
{
public:
    struct Environment {
        EventLoop &loop;
        FleetStore &store;
        /** This node is one of those that read the rules from the store now. */
        std::function<bool()> watchesStore;
        /** Newer rules have come from the store and are to be passed on. */
        std::function<void(const TrafficRules &)> forwardRules;
        /** New rules are in force, wherever they came from. */
        std::function<void(const TrafficRules &)> onRulesApplied;
    };

    explicit RulesWatcher(Environment environment);

    void start();
    void stop();

    /** Takes rules from a peer or the store; older ones are ignored. */
    void apply(const TrafficRules &rules, std::string_view source);

    /**
     * A peer has told its version. True if it should be asked for its rules.
     * @param near the peer is in the own data centre; others are asked only if nobody passes the rules on in time
     */
    bool shouldRequest(std::uint64_t version, bool sameDataCentre);

    /** The rules in force; nullptr before the first ones are known. */
    std::shared_ptr<const RuleIndex> rules() const
    {
        return m_rules;
    }

    /** 0 before the first rules are known. */
    std::uint64_t version() const
    {
        return m_rules ? m_rules->version() : 0;
    }

    /** When the first rules came; nothing before. */
    std::optional<TimePoint> knownSince() const
    {
        return m_knownSince;
    }

    /** The last call to the store for rules was answered. */
    bool storeAnswers() const
    {
        return m_storeAnswers;
    }

private:
    void watch();

    Environment m_environment;
    std::shared_ptr<const RuleIndex> m_rules;
    std::optional<TimePoint> m_knownSince;
    /** Since when a peer has had newer rules. */
    std::optional<TimePoint> m_newerKnownSince;
    TimePoint m_lastRequestAt{};
    bool m_storeAnswers = false;
    bool m_stopped = false;
};

} // namespace Pimentohollow
