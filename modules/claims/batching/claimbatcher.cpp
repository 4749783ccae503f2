#include "claims/batching/claimbatcher.h"

#include "claims/batching/groupoperations.h"

#include <algorithm>
#include <cassert>
#include <fmt/format.h>

namespace Pimentohollow
{

namespace
{

bool mayHaveTakenEffect(ErrorKind kind)
{
    return kind == ErrorKind::Timeout || kind == ErrorKind::OutcomeUnknown || kind == ErrorKind::Internal;
}

} // namespace

ClaimBatcher::ClaimBatcher(DataCentreName dataCentre, const Clock &clock, Random &random)
    : m_dataCentre(std::move(dataCentre))
    , m_clock(clock)
    , m_random(random)
{
}

void ClaimBatcher::submit(GroupItem item)
{
    auto *claim = std::get_if<ClaimItem>(&item);
    if (!claim) {
        m_upkeep.push_back(std::move(item));
        return;
    }
    if (m_claims.size() >= MostWaitingClaims) {
        report(claim->claim.claimId,
               ClaimNotMade{ Error{ ErrorKind::Unavailable, "claims.submit", "", "too many claims are waiting" }, false });
        return;
    }
    m_claims.push_back(std::move(*claim));
}

std::optional<BatchOperation> ClaimBatcher::next()
{
    if (m_phase == Phase::Committing || m_phase == Phase::ReadingBack) {
        return std::nullopt;
    }
    expireClaims();
    queueDueReleases();
    const auto now = m_clock.now();
    if (m_phase == Phase::MustReadBack) {
        return now >= m_nextRead ? std::optional(startReadBack()) : std::nullopt;
    }
    if (now < m_nextCommit) {
        return std::nullopt;
    }
    if (!m_group) {
        formGroup();
    }
    return m_group ? std::optional(startCommit()) : std::nullopt;
}

void ClaimBatcher::complete(const BatchResult &result)
{
    if (const auto *commit = std::get_if<Result<TransactionResult>>(&result)) {
        assert(m_phase == Phase::Committing);
        onCommit(*commit);
        return;
    }
    assert(m_phase == Phase::ReadingBack);
    onReadBack(std::get<Result<ReadBackResult>>(result));
}

std::vector<ItemResult> ClaimBatcher::takeResults()
{
    return std::exchange(m_results, {});
}

std::optional<TimePoint> ClaimBatcher::nextWake() const
{
    if (m_phase == Phase::Committing || m_phase == Phase::ReadingBack) {
        return std::nullopt;
    }
    if (m_phase == Phase::MustReadBack) {
        return m_nextRead;
    }
    std::optional<TimePoint> wake;
    const auto consider = [&wake](TimePoint time) {
        wake = wake ? std::min(*wake, time) : time;
    };
    if (m_group || !m_claims.empty()) {
        consider(m_nextCommit);
    }
    if (!m_upkeep.empty()) {
        consider(std::max(m_nextCommit, m_nextUpkeep));
    }
    if (!m_delayedReleases.empty()) {
        consider(m_delayedReleases.front().due);
    }
    return wake;
}

BatchOperation ClaimBatcher::startCommit()
{
    if (m_group->token.empty()) {
        m_group->token = newToken();
    }
    m_phase = Phase::Committing;
    m_nextCommit = m_clock.now() + CommitInterval;
    return CommitGroup{ operationsOf(*m_group), m_group->token };
}

BatchOperation ClaimBatcher::startReadBack()
{
    ReadBack operation;
    for (const auto &it : m_group->claims) {
        if (it.mustRead) {
            operation.keys.push_back(it.item.claim.key);
        }
    }
    m_phase = Phase::ReadingBack;
    return operation;
}

void ClaimBatcher::formGroup()
{
    Group group;
    // The table service refuses a transaction with two operations on one row.
    std::set<ClaimKey> keys;
    if (m_clock.now() >= m_nextUpkeep) {
        takeUpkeep(group, keys);
    }
    takeClaims(group, keys);
    if (!group.upkeep.empty() || !group.claims.empty()) {
        m_group = std::move(group);
    }
}

void ClaimBatcher::takeUpkeep(Group &group, std::set<ClaimKey> &keys)
{
    std::deque<GroupItem> left;
    for (auto &it : m_upkeep) {
        const bool taken = group.upkeep.size() < MostUpkeepInGroup && keys.insert(keyOf(it)).second;
        if (taken) {
            group.upkeep.push_back(std::move(it));
        } else {
            left.push_back(std::move(it));
        }
    }
    m_upkeep = std::move(left);
}

void ClaimBatcher::takeClaims(Group &group, std::set<ClaimKey> &keys)
{
    std::deque<ClaimItem> left;
    for (auto &it : m_claims) {
        const bool taken = group.claims.size() < MostClaimsInGroup && keys.insert(it.claim.key).second;
        if (taken) {
            group.claims.push_back(GroupedClaim{ std::move(it) });
        } else {
            left.push_back(std::move(it));
        }
    }
    m_claims = std::move(left);
}

std::vector<TableOperation> ClaimBatcher::operationsOf(const Group &group) const
{
    std::vector<Claim> claims;
    for (const auto &it : group.claims) {
        claims.push_back(it.item.claim);
    }
    return groupOperations(group.upkeep, claims, m_dataCentre, group.token);
}

std::string ClaimBatcher::newToken()
{
    // ClientRequestToken of the published protocol has at most 36 characters.
    const std::uint64_t high = m_random.engine()();
    const std::uint64_t low = m_random.engine()();
    return fmt::format("{:016x}{:016x}", high, low);
}

void ClaimBatcher::onCommit(const Result<TransactionResult> &result)
{
    m_phase = Phase::Idle;
    if (!result) {
        onCommitError(result.error());
    } else if (result->committed) {
        onCommitted();
    } else {
        onConditionsFailed(result->failedConditions);
    }
}

void ClaimBatcher::onCommitted()
{
    const auto group = std::move(*m_group);
    m_group.reset();
    for (const auto &it : group.upkeep) {
        finishUpkeep(it);
    }
    for (const auto &it : group.claims) {
        grant(it);
    }
}

void ClaimBatcher::onConditionsFailed(const std::vector<std::size_t> &failed)
{
    // Nothing was written. Without a failed condition the transaction met a concurrent one; it is repeated as it is.
    if (failed.empty()) {
        return;
    }
    auto &group = *m_group;
    const auto conditionFailed = [&failed](std::size_t n) {
        return std::find(failed.begin(), failed.end(), n) != failed.end();
    };
    std::vector<GroupItem> upkeep;
    for (std::size_t n = 0; n < group.upkeep.size(); ++n) {
        if (!conditionFailed(n)) {
            upkeep.push_back(group.upkeep[n]);
        } else if (std::holds_alternative<ReleaseItem>(group.upkeep[n])) {
            finishUpkeep(group.upkeep[n]);
        } else {
            rejectUpkeep(group.upkeep[n], Error{ ErrorKind::Conflict, "claims.record", "", "the row no longer carries the claim id" });
        }
    }
    bool mustRead = false;
    for (std::size_t n = 0; n < group.claims.size(); ++n) {
        group.claims[n].mustRead = conditionFailed(group.upkeep.size() + n);
        mustRead = mustRead || group.claims[n].mustRead;
    }
    if (upkeep.size() != group.upkeep.size()) {
        group.token.clear();
    }
    group.upkeep = std::move(upkeep);
    if (mustRead) {
        m_phase = Phase::MustReadBack;
        m_nextRead = m_clock.now();
    } else if (group.claims.empty() && group.upkeep.empty()) {
        m_group.reset();
    }
}

void ClaimBatcher::onCommitError(const Error &error)
{
    if (!mayHaveTakenEffect(error.kind)) {
        onNothingWritten(error);
        return;
    }
    if (m_group->claims.empty()) {
        // Outcomes and releases may be repeated.
        requeueUpkeep();
        m_group.reset();
        return;
    }
    m_group->ambiguous = true;
    for (auto &it : m_group->claims) {
        it.mustRead = true;
    }
    m_phase = Phase::MustReadBack;
    m_nextRead = m_clock.now();
}

void ClaimBatcher::onNothingWritten(const Error &error)
{
    if (error.kind == ErrorKind::InvalidInput) {
        for (const auto &it : m_group->upkeep) {
            rejectUpkeep(it, error);
        }
        m_group->upkeep.clear();
    }
    refuseAll(error);
}

void ClaimBatcher::onReadBack(const Result<ReadBackResult> &result)
{
    m_phase = Phase::MustReadBack;
    if (!result) {
        m_nextRead = m_clock.now() + CommitInterval;
        if (result.error().kind == ErrorKind::Unavailable) {
            refuseAll(result.error());
        }
        return;
    }
    auto &group = *m_group;
    std::vector<GroupedClaim> remaining;
    auto row = result->claims.begin();
    for (auto &it : group.claims) {
        if (!it.mustRead || settle(it, *row++)) {
            it.mustRead = false;
            remaining.push_back(std::move(it));
        }
    }
    if (remaining.size() != group.claims.size()) {
        // A token stands for one set of operations.
        group.token.clear();
    }
    group.claims = std::move(remaining);
    m_phase = Phase::Idle;
    dropGroupIfAnswered();
}

bool ClaimBatcher::settle(GroupedClaim &claim, const std::optional<Claim> &row)
{
    if (!row) {
        return true;
    }
    if (row->claimId == claim.item.claim.claimId) {
        grant(claim);
    } else if (!claim.answered) {
        report(claim.item.claim.claimId, ClaimTaken{ *row });
        // The other claim may be released before an earlier, unanswered write of this one arrives.
        releaseIfAmbiguous(claim);
    }
    return false;
}

void ClaimBatcher::report(const std::string &claimId, ItemVerdict verdict)
{
    m_results.push_back(ItemResult{ claimId, std::move(verdict) });
}

void ClaimBatcher::finishUpkeep(const GroupItem &item)
{
    if (const auto *it = std::get_if<OutcomeItem>(&item)) {
        report(it->claim.claimId, OutcomeRecorded{});
        return;
    }
    report(std::get<ReleaseItem>(item).claim.claimId, ClaimReleased{});
}

void ClaimBatcher::rejectUpkeep(const GroupItem &item, const Error &error)
{
    const auto *outcome = std::get_if<OutcomeItem>(&item);
    report(outcome ? outcome->claim.claimId : std::get<ReleaseItem>(item).claim.claimId, UpkeepRejected{ error });
}

void ClaimBatcher::grant(const GroupedClaim &claim)
{
    const auto &granted = claim.item.claim;
    if (claim.answered) {
        m_upkeep.push_back(ReleaseItem{ { granted.key, granted.claimId } });
        return;
    }
    report(granted.claimId, ClaimGranted{});
}

void ClaimBatcher::abandon(GroupedClaim &claim, const Error &error)
{
    if (claim.answered) {
        return;
    }
    claim.answered = true;
    report(claim.item.claim.claimId, ClaimNotMade{ error, m_group->ambiguous });
    releaseIfAmbiguous(claim);
}

void ClaimBatcher::releaseIfAmbiguous(const GroupedClaim &claim)
{
    if (!m_group->ambiguous) {
        return;
    }
    const ReleaseItem release{ { claim.item.claim.key, claim.item.claim.claimId } };
    m_upkeep.push_back(release);
    m_delayedReleases.push_back({ m_clock.now() + SecondReleaseDelay, release });
}

void ClaimBatcher::refuseAll(const Error &error)
{
    m_nextUpkeep = m_clock.now() + UpkeepBackoff;
    for (auto &it : m_group->claims) {
        abandon(it, error);
    }
    dropGroupIfAnswered();
    for (const auto &it : m_claims) {
        report(it.claim.claimId, ClaimNotMade{ error, false });
    }
    m_claims.clear();
}

void ClaimBatcher::expireClaims()
{
    const auto now = m_clock.now();
    const Error late{ ErrorKind::Timeout, "claims.commit", "", "the claim was not confirmed in time" };
    std::erase_if(m_claims, [&](const ClaimItem &it) {
        const bool expired = it.giveUpAt <= now;
        if (expired) {
            report(it.claim.claimId, ClaimNotMade{ late, false });
        }
        return expired;
    });
    if (!m_group) {
        return;
    }
    auto &claims = m_group->claims;
    for (auto &it : claims) {
        if (it.item.giveUpAt <= now) {
            abandon(it, late);
        }
    }
    if (!m_group->ambiguous && std::erase_if(claims, isAnswered) > 0) {
        m_group->token.clear();
    }
    dropGroupIfAnswered();
}

bool ClaimBatcher::isAnswered(const GroupedClaim &claim)
{
    return claim.answered;
}

void ClaimBatcher::dropGroupIfAnswered()
{
    const auto &claims = m_group->claims;
    if (!std::all_of(claims.begin(), claims.end(), isAnswered)) {
        return;
    }
    requeueUpkeep();
    m_group.reset();
    m_phase = Phase::Idle;
}

void ClaimBatcher::requeueUpkeep()
{
    m_nextUpkeep = std::max(m_nextUpkeep, m_clock.now() + CommitInterval);
    m_upkeep.insert(m_upkeep.begin(), m_group->upkeep.begin(), m_group->upkeep.end());
}

void ClaimBatcher::queueDueReleases()
{
    while (!m_delayedReleases.empty() && m_delayedReleases.front().due <= m_clock.now()) {
        m_upkeep.push_back(m_delayedReleases.front().item);
        m_delayedReleases.pop_front();
    }
}

} // namespace Pimentohollow
