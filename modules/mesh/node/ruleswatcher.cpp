#include "mesh/node/ruleswatcher.h"

#include "core/logger.h"
#include "mesh/node/storebackoff.h"

#include <utility>

namespace Pimentohollow
{

namespace
{

/** Interval at which a node that doesn't watch the rules checks whether it should. */
constexpr std::chrono::milliseconds RoleCheckInterval(100);
/**
 * Time after the start for connecting to the nodes that watch the store, before this node checks whether it should watch too; shorter than
 * the time within which new rules must arrive.
 */
constexpr std::chrono::milliseconds LinkSetupTime(800);
/**
 * After an outage, calls return at once instead of waiting for changes, until the nodes have reported to each other which of them reach the
 * store again. This takes the longest delay between failed calls plus one status interval. Otherwise the first nodes to reconnect would
 * keep a long watch open although the regular watchers have taken over.
 */
constexpr std::chrono::milliseconds StoreRecoveryTime(1500);
/** Interval between calls during StoreRecoveryTime. */
constexpr std::chrono::milliseconds RecoveryPollInterval(400);
constexpr std::chrono::milliseconds RequestInterval(300);
/** Time to wait for new rules to be forwarded in the own data centre before they are requested from another one. */
constexpr std::chrono::milliseconds ForwardTimeout(250);
const Logger Log("mesh");

} // namespace

RulesWatcher::RulesWatcher(Environment environment)
    : m_environment(std::move(environment))
    , m_confirmedAt(m_environment.loop.now())
{
}

void RulesWatcher::start()
{
    m_environment.loop.spawn([this] {
        watch();
    });
}

void RulesWatcher::stop()
{
    m_stopped = true;
}

void RulesWatcher::watch()
{
    auto &loop = m_environment.loop;
    TimePoint nextRoleCheckAt = loop.now() + LinkSetupTime;
    TimePoint recoveredAt{};
    Backoff backoff = storeBackoff();
    bool known = false;
    std::uint64_t position = 0;
    while (!m_stopped) {
        if (known && (loop.now() < nextRoleCheckAt || !m_environment.watchesStore())) {
            logRole(false);
            loop.sleepFor(RoleCheckInterval);
            continue;
        }
        logRole(true);
        const bool storeAnsweredBefore = m_storeAnswers;
        const auto wait = storeAnsweredBefore && loop.now() >= recoveredAt ? WatchWait::Long : WatchWait::None;
        const auto state = known ? m_environment.store.watchRules(position, wait) : m_environment.store.readRules();
        m_storeAnswers = state.has_value();
        if (!state) {
            known = known && state.error().kind != ErrorKind::NotFound;
            Log.warning("rules_unavailable", { { "error", state.error().describe() } });
            loop.sleepFor(backoff.next());
            continue;
        }
        backoff.reset();
        m_confirmedAt = loop.now();
        if (known && !storeAnsweredBefore) {
            recoveredAt = loop.now() + StoreRecoveryTime;
        }
        if (loop.now() < recoveredAt) {
            nextRoleCheckAt = loop.now() + RecoveryPollInterval;
        }
        known = true;
        position = state->position;
        if (state->rules && state->rules->version > version()) {
            apply(*state->rules, "store");
            m_environment.forwardRules(*state->rules);
        }
    }
}

void RulesWatcher::logRole(bool watches)
{
    if (std::exchange(m_watches, watches) == watches) {
        return;
    }
    Log.info(watches ? "rules_watch_started" : "rules_watch_stopped",
             { { "version", std::to_string(version()) },
               { "confirmed_ms_ago", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(confirmationAge()).count()) },
               { "store_answers", m_storeAnswers ? "yes" : "no" } });
}

void RulesWatcher::apply(const TrafficRules &rules, std::string_view source)
{
    if (m_rules && rules.version <= version()) {
        return;
    }
    if (!m_rules) {
        m_knownSince = m_environment.loop.now();
    }
    Log.info("rules_applied",
             { { "version", std::to_string(rules.version) },
               { "previous", std::to_string(version()) },
               { "source", std::string(source) },
               { "routes", std::to_string(rules.routes.size()) },
               { "accounts", std::to_string(rules.accounts.size()) } });
    m_rules = std::make_shared<const RuleIndex>(rules);
    m_newerKnownSince.reset();
    m_environment.onRulesApplied(rules);
}

bool RulesWatcher::shouldRequest(std::uint64_t peerVersion, bool sameDataCentre)
{
    const TimePoint now = m_environment.loop.now();
    if (peerVersion <= version()) {
        return false;
    }
    if (!m_newerKnownSince) {
        m_newerKnownSince = now;
    }
    const bool due = !m_rules || sameDataCentre || now - *m_newerKnownSince >= ForwardTimeout;
    if (!due || now - m_lastRequestAt < RequestInterval) {
        return false;
    }
    m_lastRequestAt = now;
    return true;
}

} // namespace Pimentohollow
