#pragma once

#include "async/loop/eventloop.h"
#include "mesh/decisions/ruleswatchplan.h"
#include "mesh/model/fleetstore.h"
#include "mesh/model/ruleindex.h"

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace Pimentohollow
{

/**
 * Keeps the newest rules that this node has received. A few nodes of each data centre read the rules from the store and forward them to the
 * others there: a configuration of hundreds of routes, read by every node, made up most of the traffic between data centres. A node without
 * rules reads them itself, and a node that learns of a newer version requests it from a peer if it isn't forwarded.
 */
class RulesWatcher
{
public:
    struct Environment {
        EventLoop &loop;
        FleetStore &store;
        /** Time within which new rules must be in force. */
        Duration deadline{};
        /** Returns this node's state as a candidate for watching the store. */
        std::function<RoleCandidate()> ownRole;
        /** Returns the other reachable nodes of the data centre. */
        std::function<std::vector<RoleCandidate>()> localPeers;
        /** Returns the time between the statuses of nodes of the data centre. */
        std::function<Duration()> statusInterval;
        /** Called with newer rules from the store, to forward them to other nodes. */
        std::function<void(const TrafficRules &)> forwardRules;
        /** Called when new rules are in force, from any source. */
        std::function<void(const TrafficRules &)> onRulesApplied;
    };

    explicit RulesWatcher(Environment environment);

    void start();
    void stop();

    /** Puts rules from a peer or the store in force unless they are older than the current ones. */
    void apply(const TrafficRules &rules, std::string_view source);

    /**
     * Handles the rules version that a peer reported; returns true if its rules should be requested.
     * @param sameDataCentre true if the peer is in the own data centre; other peers are asked only if the rules aren't forwarded in time
     */
    bool shouldRequest(std::uint64_t version, bool sameDataCentre);

    /** Records that a peer knows of no newer rules than @p version, as the store confirmed to it or to others that long ago. */
    void applyConfirmation(std::uint64_t version, Duration age);

    /** The rules in force, or nullptr before any rules are known. */
    std::shared_ptr<const RuleIndex> rules() const
    {
        return m_rules;
    }

    /** Version of the rules in force, or 0 before any rules are known. */
    std::uint64_t version() const
    {
        return m_rules ? m_rules->version() : 0;
    }

    /** Time at which the first rules came into force; nothing before that. */
    std::optional<TimePoint> knownSince() const
    {
        return m_knownSince;
    }

    /** Time since the store last confirmed that it has no newer rules, or since the start before the first confirmation. */
    Duration confirmationAge() const
    {
        return m_plan.confirmationAge(m_environment.loop.now());
    }

    /** True if the last call to the store for rules succeeded. */
    bool storeAnswers() const
    {
        return m_plan.storeAnswers();
    }

private:
    void watch();
    /** Reads or watches the rules once; @p position has no value until they have been read. Errors: those of the store call. */
    Result<void> readOrWatchOnce(std::optional<StorePosition> &position);
    /** Logs that this node starts or stops reading the rules for its data centre. */
    void logRole(bool watches);

    Environment m_environment;
    std::shared_ptr<const RuleIndex> m_rules;
    std::optional<TimePoint> m_knownSince;
    /** Time since which a peer is known to have newer rules. */
    std::optional<TimePoint> m_newerKnownSince;
    TimePoint m_lastRequestAt{};
    RulesWatchPlan m_plan;
    bool m_watches = false;
    bool m_stopped = false;
};

} // namespace Pimentohollow
