#pragma once

#include "claims/claims.h"
#include "core/mailbox.h"

#include <functional>
#include <future>
#include <thread>
#include <unordered_map>

namespace Pimentohollow
{

/**
 * Runs the claims of a node. One thread owns ClaimRegistry and ClaimBatcher; two more threads make the blocking calls to
 * the platform, one for commits and one for lookups and objects, so that a slow lookup doesn't delay a commit.
 * The public functions may be called from many threads.
 */
class ClaimTask
{
public:
    ClaimTask(ClaimOwner self,
              const DataCentreName &dataCentre,
              TableService &table,
              ObjectStore &objects,
              const Clock &clock,
              std::uint64_t seed,
              ClaimRegistry::LivenessFunction liveness);
    ~ClaimTask();
    ClaimTask(const ClaimTask &) = delete;
    ClaimTask &operator=(const ClaimTask &) = delete;

    /** Waits for the decision on a request, at most until about its deadline. A stopped task refuses as not run. */
    ClaimVerdict begin(const ClaimRequest &request);

    /** Must be called right before the first byte goes to an upstream; on false the request must not run. */
    bool startRun(const std::string &claimId);

    void finish(const std::string &claimId, ClaimOutcome outcome);
    void lose(const std::string &claimId);
    void release(const std::string &claimId);

    /** Waits until everything is recorded or released, at most until @p deadline; false if something was left. */
    bool settle(TimePoint deadline);

    void stop();

private:
    using Command = std::function<void()>;

    void run();
    void step();
    void deliverAnswers();
    void startCommit();
    void startLookup();
    TimePoint nextWake() const;
    void sweep(TimePoint now);

    const Clock &m_clock;
    Random m_random;
    /** The sweeper works on the lookup thread, so it has a source of its own. */
    Random m_sweepRandom;
    ClaimRegistry m_registry;
    ClaimBatcher m_batcher;
    ClaimExecutor m_executor;
    ClaimSweeper m_sweeper;
    std::unordered_map<ClaimTicket, std::promise<ClaimVerdict>> m_waiting;
    bool m_committing = false;
    bool m_lookingUp = false;
    TimePoint m_nextSweep{};
    Mailbox<Command> m_commands;
    Mailbox<std::function<void()>> m_commits;
    Mailbox<std::function<void()>> m_lookups;
    std::thread m_thread;
    std::thread m_commitThread;
    std::thread m_lookupThread;
};

} // namespace Pimentohollow
