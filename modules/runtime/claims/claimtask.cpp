#include "runtime/claims/claimtask.h"

#include "core/logger.h"

#include <limits>

namespace Pimentohollow
{

namespace
{

/** New claims beyond this are refused. Other commands are never dropped: each ends a claim that was already made. */
constexpr std::size_t MostWaitingCommands = 20000;
/** The thread wakes up at least this often to end waits that are over. */
constexpr auto LongestSleep = std::chrono::seconds(1);
/** Expired claims are a matter of hours, so one group per interval is enough and costs little. */
constexpr auto SweepInterval = std::chrono::seconds(30);
const Logger Log("claims");

void runAll(Mailbox<std::function<void()>> &mailbox)
{
    while (auto work = mailbox.take()) {
        (*work)();
    }
}

Refusal stopped()
{
    return { RefusalReason::Draining, RunState::NotRun, std::chrono::seconds(1), "the node is shutting down" };
}

} // namespace

ClaimTask::ClaimTask(ClaimOwner self,
                     const DataCentreName &dataCentre,
                     TableService &table,
                     ObjectStore &objects,
                     const Clock &clock,
                     std::uint64_t seed,
                     ClaimRegistry::LivenessFunction liveness)
    : m_clock(clock)
    , m_random(seed)
    , m_sweepRandom(~seed)
    , m_registry(std::move(self), clock, m_random, std::move(liveness))
    , m_batcher(dataCentre, clock, m_random)
    , m_executor(table, objects)
    , m_sweeper(table, objects, dataCentre, clock, m_sweepRandom)
    , m_nextSweep(clock.now() + SweepInterval)
    , m_commands(std::numeric_limits<std::size_t>::max())
    , m_commits(1)
    , m_lookups(2)
    , m_thread([this] {
        run();
    })
    , m_commitThread([this] {
        runAll(m_commits);
    })
    , m_lookupThread([this] {
        runAll(m_lookups);
    })
{
}

ClaimTask::~ClaimTask()
{
    stop();
}

ClaimVerdict ClaimTask::begin(const ClaimRequest &request)
{
    if (m_commands.size() >= MostWaitingCommands) {
        return Refusal{ RefusalReason::Overloaded, RunState::NotRun, std::chrono::seconds(1), "too many claims are waiting" };
    }
    auto promise = std::make_shared<std::promise<ClaimVerdict>>();
    auto verdict = promise->get_future();
    const bool posted = m_commands.post([this, request, promise] {
        m_waiting.emplace(m_registry.begin(request), std::move(*promise));
    });
    if (!posted) {
        return stopped();
    }
    return verdict.get();
}

bool ClaimTask::startRun(const std::string &claimId)
{
    auto promise = std::make_shared<std::promise<bool>>();
    auto allowed = promise->get_future();
    const bool posted = m_commands.post([this, claimId, promise] {
        promise->set_value(m_registry.startRun(claimId));
    });
    return posted && allowed.get();
}

void ClaimTask::finish(const std::string &claimId, ClaimOutcome outcome)
{
    m_commands.post([this, claimId, outcome = std::move(outcome)] {
        m_registry.finish(claimId, outcome);
    });
}

void ClaimTask::lose(const std::string &claimId)
{
    m_commands.post([this, claimId] {
        m_registry.lose(claimId);
    });
}

void ClaimTask::release(const std::string &claimId)
{
    m_commands.post([this, claimId] {
        m_registry.release(claimId);
    });
}

bool ClaimTask::settle(TimePoint deadline)
{
    constexpr auto Step = std::chrono::milliseconds(20);
    while (m_clock.now() < deadline) {
        auto promise = std::make_shared<std::promise<std::size_t>>();
        auto left = promise->get_future();
        const bool posted = m_commands.post([this, promise] {
            promise->set_value(m_registry.openClaims());
        });
        if (!posted) {
            return false;
        }
        if (left.get() == 0) {
            return true;
        }
        std::this_thread::sleep_for(Step);
    }
    return false;
}

void ClaimTask::stop()
{
    if (!m_thread.joinable()) {
        return;
    }
    m_commands.close();
    m_thread.join();
    m_commits.close();
    m_lookups.close();
    m_commitThread.join();
    m_lookupThread.join();
}

void ClaimTask::run()
{
    // Ends when the mailbox is closed and empty.
    while (!m_commands.closed() || m_commands.size() > 0) {
        if (auto command = m_commands.take(nextWake())) {
            (*command)();
        }
        step();
    }
    for (auto &[ticket, promise] : m_waiting) {
        promise.set_value(stopped());
    }
    m_waiting.clear();
}

void ClaimTask::step()
{
    m_registry.tick();
    exchangeItems(m_registry, m_batcher);
    startCommit();
    startLookup();
    exchangeItems(m_registry, m_batcher);
    deliverAnswers();
    sweep(m_clock.now());
}

void ClaimTask::deliverAnswers()
{
    for (auto &it : m_registry.takeAnswers()) {
        const auto waiting = m_waiting.find(it.ticket);
        if (waiting == m_waiting.end()) {
            continue;
        }
        waiting->second.set_value(std::move(it.verdict));
        m_waiting.erase(waiting);
    }
}

void ClaimTask::startCommit()
{
    if (m_committing) {
        return;
    }
    const auto operation = m_batcher.next();
    if (!operation) {
        return;
    }
    m_committing = true;
    m_commits.post([this, operation = *operation] {
        auto result = std::make_shared<BatchResult>(m_executor.perform(operation));
        m_commands.post([this, result] {
            m_committing = false;
            m_batcher.complete(*result);
        });
    });
}

void ClaimTask::startLookup()
{
    if (m_lookingUp) {
        return;
    }
    const auto operation = m_registry.nextStoreOperation();
    if (!operation) {
        return;
    }
    m_lookingUp = true;
    m_lookups.post([this, operation = *operation] {
        auto result = std::make_shared<StoreResult>(m_executor.perform(operation));
        m_commands.post([this, result] {
            m_lookingUp = false;
            m_registry.onStoreResult(*result);
        });
    });
}

TimePoint ClaimTask::nextWake() const
{
    TimePoint wake = m_clock.now() + LongestSleep;
    // While a call to the platform is running, its result wakes this thread.
    if (const auto at = m_batcher.nextWake(); at && !m_committing) {
        wake = std::min(wake, *at);
    }
    if (const auto at = m_registry.nextWake()) {
        wake = std::min(wake, m_lookingUp ? std::max(*at, m_clock.now() + std::chrono::milliseconds(1)) : *at);
    }
    return wake;
}

void ClaimTask::sweep(TimePoint now)
{
    if (now < m_nextSweep || m_lookingUp) {
        return;
    }
    m_nextSweep = now + SweepInterval;
    m_lookingUp = true;
    m_lookups.post([this] {
        if (const auto step = m_sweeper.step(); !step) {
            Log.warning("sweep_failed", { { "error", step.error().describe() } });
        }
        m_commands.post([this] {
            m_lookingUp = false;
        });
    });
}

} // namespace Pimentohollow
