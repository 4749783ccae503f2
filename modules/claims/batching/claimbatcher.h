#pragma once

#include "claims/batching/groupitem.h"
#include "core/clock.h"
#include "core/random.h"

#include <deque>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Pimentohollow
{

/**
 * Group commit of claims, outcomes and releases: a state machine that emits one operation at a time and takes its result.
 *
 * A commit starts at once when none is running and none started within the last CommitInterval. A group that fails on
 * some claims is committed again without them and without new ones: new conflicts in each repeat would otherwise keep
 * the others from ever being committed. A commit without an answer is resolved by reading the claims back; while they are
 * absent the same transaction is repeated with the same token.
 * A claim is granted only after an answer or a read shows that its row carries its own claim id.
 * Not thread-safe. @see ClaimExecutor
 */
class ClaimBatcher
{
public:
    static constexpr std::size_t MostClaimsInGroup = 25;
    /** With 25 claims and one expiry row this stays below TableService::MaximumOperations. */
    static constexpr std::size_t MostUpkeepInGroup = 50;
    /** Bounds a node to 10 commits per second. */
    static constexpr Duration CommitInterval = std::chrono::milliseconds(100);
    /** Pause of outcomes and releases after a failure; claims are tried at the next interval. */
    static constexpr Duration UpkeepBackoff = std::chrono::seconds(1);
    /** An unanswered write may arrive late, so an abandoned claim is released twice; the second time after this pause. */
    static constexpr Duration SecondReleaseDelay = std::chrono::seconds(15);
    /** Waiting claims beyond this are refused at once: they would wait for more than four seconds. */
    static constexpr std::size_t MostWaitingClaims = 1000;

    /** @param random source of transaction tokens; must be seeded differently in each process */
    ClaimBatcher(DataCentreName dataCentre, const Clock &clock, Random &random);

    void submit(GroupItem item);

    /** The next operation, if there is one to start now. Its result must be passed to complete() before the next call. */
    std::optional<BatchOperation> next();
    void complete(const BatchResult &result);

    /** What became of items since the last call. */
    std::vector<ItemResult> takeResults();

    /** When next() may have something to do without further input; nothing if it is idle or waits for complete(). */
    std::optional<TimePoint> nextWake() const;

    std::size_t waitingClaims() const
    {
        return m_claims.size();
    }

private:
    enum class Phase {
        Idle,
        Committing,
        MustReadBack,
        ReadingBack,
    };

    struct GroupedClaim {
        ClaimItem item;
        /** The submitter was told that the claim was not made. */
        bool answered = false;
        /** It is not known who holds the row, if anyone. */
        bool mustRead = false;
    };

    /** The upkeep comes first in the transaction, then the claims, then the expiry row. */
    struct Group {
        std::string token;
        std::vector<GroupItem> upkeep;
        std::vector<GroupedClaim> claims;
        /** A commit of this group was left without an answer. */
        bool ambiguous = false;
    };

    struct DelayedRelease {
        TimePoint due;
        ReleaseItem item;
    };

    BatchOperation startCommit();
    BatchOperation startReadBack();
    void formGroup();
    void takeUpkeep(Group &group, std::set<ClaimKey> &keys);
    void takeClaims(Group &group, std::set<ClaimKey> &keys);
    std::vector<TableOperation> operationsOf(const Group &group) const;
    std::string newToken();

    void onCommit(const Result<TransactionResult> &result);
    void onCommitted();
    void onConditionsFailed(const std::vector<std::size_t> &failed);
    void onCommitError(const Error &error);
    void onNothingWritten(const Error &error);
    void onReadBack(const Result<ReadBackResult> &result);
    /** Decides a claim by its row; true if it is still to be committed. */
    bool settle(GroupedClaim &claim, const std::optional<Claim> &row);

    void report(const std::string &claimId, ItemVerdict verdict);
    void finishUpkeep(const GroupItem &item);
    void rejectUpkeep(const GroupItem &item, const Error &error);
    void grant(const GroupedClaim &claim);
    void abandon(GroupedClaim &claim, const Error &error);
    void releaseIfAmbiguous(const GroupedClaim &claim);
    void refuseAll(const Error &error);
    void expireClaims();
    static bool isAnswered(const GroupedClaim &claim);
    void dropGroupIfAnswered();
    void requeueUpkeep();
    void queueDueReleases();

    DataCentreName m_dataCentre;
    const Clock &m_clock;
    Random &m_random;
    std::deque<ClaimItem> m_claims;
    std::deque<GroupItem> m_upkeep;
    std::deque<DelayedRelease> m_delayedReleases;
    std::vector<ItemResult> m_results;
    std::optional<Group> m_group;
    Phase m_phase = Phase::Idle;
    TimePoint m_nextCommit{};
    TimePoint m_nextUpkeep{};
    TimePoint m_nextRead{};
};

} // namespace Pimentohollow
