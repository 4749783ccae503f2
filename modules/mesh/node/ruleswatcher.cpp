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
constexpr std::chrono::milliseconds RequestInterval(300);
/** Time to wait for new rules to be forwarded in the own data centre before they are requested from another one. */
constexpr std::chrono::milliseconds ForwardTimeout(250);
const Logger Log("mesh");

} // namespace

RulesWatcher::RulesWatcher(Environment environment)
    : m_environment(std::move(environment))
    , m_plan(m_environment.deadline, m_environment.loop.now())
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
    const TimePoint linksSetUpAt = loop.now() + LinkSetupTime;
    Backoff backoff = storeBackoff();
    std::optional<StorePosition> position;
    while (!m_stopped) {
        const bool isDue = loop.now() >= linksSetUpAt && m_plan.isDue(m_environment.ownRole(), m_environment.localPeers(), loop.now());
        if (position && !isDue) {
            logRole(false);
            loop.sleepFor(RoleCheckInterval);
            continue;
        }
        logRole(true);
        const auto called = readOrWatchOnce(position);
        if (called) {
            backoff.reset();
            continue;
        }
        Log.warning("rules_unavailable", { { "error", called.error().describe() } });
        if (called.error().kind == ErrorKind::NotFound) {
            backoff.reset(); // the store answers again
        }
        // A call without an answer has taken its time, and the next one uses a new connection.
        if (called.error().kind != ErrorKind::Timeout) {
            loop.sleepFor(backoff.next());
        }
    }
}

Result<void> RulesWatcher::readOrWatchOnce(std::optional<StorePosition> &position)
{
    const TimePoint calledAt = m_environment.loop.now();
    const WatchLimits limits = position ? m_plan.limits(m_environment.statusInterval()) : WatchLimits{};
    const bool reads = !position;
    const auto state = reads ? m_environment.store.readRules() : m_environment.store.watchRules(*position, limits);
    if (!state) {
        if (state.error().kind == ErrorKind::NotFound) {
            position.reset();
        } else {
            m_plan.recordFailure(state.error().kind == ErrorKind::Timeout);
        }
        return tl::unexpected(state.error());
    }
    position = state->position;
    if (reads) {
        Log.info("rules_read",
                 { { "era", std::to_string(position->era) },
                   { "revision", std::to_string(position->revision) },
                   { "version", state->rules ? std::to_string(state->rules->version) : "" },
                   { "in_force", std::to_string(version()) } });
    }
    m_plan.recordAnswer(limits, state->rules.has_value(), calledAt, m_environment.loop.now());
    if (state->rules && state->rules->version > version()) {
        apply(*state->rules, "store");
        m_environment.forwardRules(*state->rules);
    }
    return {};
}

void RulesWatcher::applyConfirmation(std::uint64_t confirmedVersion, Duration age)
{
    if (confirmedVersion == version()) {
        m_plan.confirm(m_environment.loop.now() - age);
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
               { "store_answers", storeAnswers() ? "yes" : "no" } });
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
