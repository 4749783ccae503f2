#pragma once

#include "claims/registry/claimverdict.h"
#include "core/clock.h"
#include "core/random.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Pimentohollow
{

/**
 * The claims of one process: decides for every non-idempotent request with an Idempotency-Key whether it runs, gets the
 * recorded outcome or is refused. A state machine: requests, results and time go in; answers, group items and store
 * operations come out.
 *
 * Order of calls for a request: begin(); an answer with MayRun; startRun() right before its first byte is sent; then
 * exactly one of finish(), lose() and release(). Not thread-safe. @see runClaims
 */
class ClaimRegistry
{
public:
    /** A resend waits this long for the outcome of a running request. */
    static constexpr Duration ResendWait = std::chrono::milliseconds(200);
    /** Rows of other nodes' running claims are read again at this interval during the wait. */
    static constexpr Duration PollInterval = std::chrono::milliseconds(60);
    /** Without a confirmed claim by then the request is refused as not run. */
    static constexpr Duration ClaimPatience = std::chrono::seconds(1);
    /** A request that was granted but not started within this time no longer runs; far below the expiry of a row. */
    static constexpr Duration GrantLifetime = std::chrono::minutes(1);
    /** Pause before an object that could not be written is written again. */
    static constexpr Duration BodyRetryDelay = std::chrono::seconds(1);
    static constexpr std::size_t MostEntries = 10000;
    /** Abandoned claims that a resend may still release; beyond this the oldest one ends as "unknown" for a resend. */
    static constexpr std::size_t MostAbandoned = 4096;
    /** Bodies of outcomes in memory; a body that doesn't fit is dropped and its outcome is recorded as lost. */
    static constexpr std::size_t MostHeldBytes = std::size_t(16) * 1024 * 1024;
    /** Recorded outcomes that stay in memory, so that a resend gets them without the platform. */
    static constexpr std::size_t MostRecorded = 2000;

    using LivenessFunction = std::function<OwnerLiveness(const ClaimOwner &)>;

    /** @param random must be seeded differently in each process */
    ClaimRegistry(ClaimOwner self, const Clock &clock, Random &random, LivenessFunction liveness);

    /** Takes a request in; its answer comes from takeAnswers(), possibly at once. */
    ClaimTicket begin(const ClaimRequest &request);

    /** Last check before the first byte goes to an upstream; on false the claim is released and the request must not run. */
    bool startRun(const std::string &claimId);
    /** The request has its complete answer. The caller need not wait until it is recorded. */
    void finish(const std::string &claimId, ClaimOutcome outcome);
    /** The request may have run, but its answer is lost. */
    void lose(const std::string &claimId);
    /** The request provably did not run: no byte of it was sent, or the serving node said so. */
    void release(const std::string &claimId);

    std::vector<ClaimAnswer> takeAnswers();

    /** Items for the ClaimBatcher of this node, or of the member that gathers the claims. */
    std::vector<GroupItem> takeItems();
    void onItemResult(const ItemResult &result);

    std::optional<StoreOperation> nextStoreOperation();
    void onStoreResult(const StoreResult &result);

    /** Ends waits that are over. */
    void tick();
    /** When tick() or nextStoreOperation() next has something to do. */
    std::optional<TimePoint> nextWake() const;

    /** Claims of this process that are not settled yet. */
    std::size_t openClaims() const
    {
        return m_entries.size() - m_recorded.size();
    }

private:
    enum class Phase {
        Claiming,
        Abandoned, ///< refused as not run while the claim's result is still open
        Granted,
        Running,
        Releasing,
        Finished, ///< the outcome is recorded or being recorded
        Lost, ///< the same for the loss
    };

    struct Waiter {
        ClaimTicket ticket = 0;
        TimePoint until{};
    };

    struct Entry {
        Claim claim;
        Phase phase = Phase::Claiming;
        ClaimTicket ticket = 0;
        /** While Claiming: when the wait ends. Afterwards: when the claim was granted. */
        TimePoint time{};
        bool recorded = false;
        std::vector<Waiter> waiters;
    };

    /** A resend that waits for a row or an object. */
    struct Lookup {
        ClaimRequest request;
        TimePoint until{};
        TimePoint nextRead{};
        bool reading = false;
        std::optional<ClaimOutcome> outcome;
    };

    struct PendingBody {
        std::string claimId;
        TimePoint due{};
    };

    Claim newClaim(const ClaimRequest &request);
    void join(ClaimTicket ticket, const ClaimRequest &request, Entry &entry);
    void resolve(ClaimTicket ticket, const ClaimRequest &request, TimePoint until, const Claim &existing);
    void resolveRunning(ClaimTicket ticket, const ClaimRequest &request, TimePoint until, const Claim &existing);

    void onGranted(Entry &entry);
    void onTaken(Entry &entry, const Claim &existing);
    void onNotMade(Entry &entry, const ClaimNotMade &verdict);
    void onClaimRead(const ClaimRead &result);
    void onBodyRead(const BodyRead &result);
    void onBodyWritten(const BodyWritten &result);

    void answer(ClaimTicket ticket, ClaimVerdict verdict);
    void refuse(ClaimTicket ticket, RefusalReason reason, RunState ran, const std::string &detail);
    void refuseNotRun(Entry &entry);
    void answerWaiters(Entry &entry, const ClaimVerdict &verdict);
    void record(const Entry &entry);
    void onRecorded(Entry &entry);
    void forgetOldestRecorded();
    void expireWaits(Entry &entry);
    void rememberAbandoned(const ClaimReference &claim);
    Entry *find(const std::string &claimId);
    void erase(const std::string &claimId);

    ClaimOwner m_self;
    const Clock &m_clock;
    std::uint64_t m_processTag;
    LivenessFunction m_liveness;
    std::uint64_t m_claimCount = 0;
    ClaimTicket m_ticketCount = 0;
    std::size_t m_heldBytes = 0;
    std::map<ClaimKey, Entry> m_entries;
    std::unordered_map<std::string, ClaimKey> m_keys;
    std::map<ClaimTicket, Lookup> m_lookups;
    std::deque<PendingBody> m_bodies;
    /** Claim ids of entries whose outcome is recorded, oldest first. */
    std::deque<std::string> m_recorded;
    std::unordered_map<std::string, ClaimKey> m_abandoned;
    std::deque<std::string> m_abandonedOrder;
    std::vector<ClaimAnswer> m_answers;
    std::vector<GroupItem> m_items;
};

} // namespace Pimentohollow
