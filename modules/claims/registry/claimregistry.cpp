#include "claims/registry/claimregistry.h"

#include "claims/registry/claimrefusals.h"

#include <algorithm>
#include <cassert>
#include <fmt/format.h>

namespace Pimentohollow
{

namespace
{

template <typename... Ts>
struct Overloaded : Ts... {
    using Ts::operator()...;
};
template <typename... Ts>
Overloaded(Ts...) -> Overloaded<Ts...>;

} // namespace

ClaimRegistry::ClaimRegistry(ClaimOwner self, const Clock &clock, Random &random, LivenessFunction liveness)
    : m_self(std::move(self))
    , m_clock(clock)
    , m_processTag(random.engine()())
    , m_liveness(std::move(liveness))
{
}

ClaimTicket ClaimRegistry::begin(const ClaimRequest &request)
{
    const auto ticket = ++m_ticketCount;
    if (!isValidIdempotencyKey(request.key.idempotencyKey)) {
        refuse(ticket, RefusalReason::BadRequest, RunState::NotRun, "the Idempotency-Key must be 1 to 255 visible ASCII characters");
        return ticket;
    }
    const auto it = m_entries.find(request.key);
    if (it != m_entries.end()) {
        join(ticket, request, it->second);
        return ticket;
    }
    if (openClaims() >= MostEntries) {
        refuse(ticket, RefusalReason::Overloaded, RunState::NotRun, "too many claims are open at this node");
        return ticket;
    }
    Entry entry;
    entry.claim = newClaim(request);
    entry.ticket = ticket;
    entry.time = std::min(m_clock.now() + ClaimPatience, request.deadline);
    m_items.emplace_back(ClaimItem{ entry.claim, entry.time });
    m_keys.emplace(entry.claim.claimId, request.key);
    m_entries.emplace(request.key, std::move(entry));
    return ticket;
}

bool ClaimRegistry::startRun(const std::string &claimId)
{
    auto *entry = find(claimId);
    assert(entry && entry->phase == Phase::Granted);
    // The monotonic clock may stand still while a VM is paused; the wall clock may be set. Both must agree.
    const auto waited = std::max<Duration>(m_clock.now() - entry->time, m_clock.wallNow() - entry->claim.claimedAt);
    if (waited > GrantLifetime) {
        release(claimId);
        return false;
    }
    entry->phase = Phase::Running;
    return true;
}

void ClaimRegistry::finish(const std::string &claimId, ClaimOutcome outcome)
{
    auto *entry = find(claimId);
    assert(entry && entry->phase == Phase::Running);
    answerWaiters(*entry, ReplayOutcome{ outcome });
    const auto size = outcome.body.size();
    while (m_heldBytes + size > MostHeldBytes && !m_recorded.empty()) {
        forgetOldestRecorded();
    }
    if (m_heldBytes + size > MostHeldBytes) {
        lose(claimId);
        return;
    }
    m_heldBytes += size;
    entry->phase = Phase::Finished;
    entry->claim.state = ClaimState::Finished;
    entry->claim.outcome = std::move(outcome);
    if (size > LargestInlineBody) {
        m_bodies.push_back({ claimId, m_clock.now() });
        return;
    }
    record(*entry);
}

void ClaimRegistry::lose(const std::string &claimId)
{
    auto *entry = find(claimId);
    assert(entry && entry->phase == Phase::Running);
    answerWaiters(*entry, lostRefusal());
    entry->phase = Phase::Lost;
    entry->claim.state = ClaimState::Lost;
    record(*entry);
}

void ClaimRegistry::release(const std::string &claimId)
{
    auto *entry = find(claimId);
    assert(entry && (entry->phase == Phase::Granted || entry->phase == Phase::Running));
    answerWaiters(*entry, notRunRefusal());
    entry->phase = Phase::Releasing;
    m_items.emplace_back(ReleaseItem{ { entry->claim.key, claimId } });
}

std::vector<ClaimAnswer> ClaimRegistry::takeAnswers()
{
    return std::exchange(m_answers, {});
}

std::vector<GroupItem> ClaimRegistry::takeItems()
{
    return std::exchange(m_items, {});
}

void ClaimRegistry::onItemResult(const ItemResult &result)
{
    const auto abandoned = m_abandoned.find(result.claimId);
    if (abandoned != m_abandoned.end() && std::holds_alternative<ClaimGranted>(result.verdict)) {
        m_items.emplace_back(ReleaseItem{ { abandoned->second, result.claimId } });
    }
    auto *entry = find(result.claimId);
    // Forwarded items may be answered twice.
    if (!entry || entry->recorded) {
        return;
    }
    std::visit(Overloaded{ [&](const ClaimGranted &) {
                              onGranted(*entry);
                          },
                           [&](const ClaimTaken &it) {
                               onTaken(*entry, it.existing);
                           },
                           [&](const ClaimNotMade &it) {
                               onNotMade(*entry, it);
                           },
                           [&](const OutcomeRecorded &) {
                               onRecorded(*entry);
                           },
                           [&](const auto &) {
                               // Released, or never to be recorded: the row decides from now on.
                               erase(result.claimId);
                           } },
               result.verdict);
}

std::optional<StoreOperation> ClaimRegistry::nextStoreOperation()
{
    const auto now = m_clock.now();
    for (auto &[ticket, it] : m_lookups) {
        if (it.reading || it.nextRead > now) {
            continue;
        }
        it.reading = true;
        if (it.outcome) {
            return ReadBody{ ticket, it.outcome->bodyObject };
        }
        return ReadClaim{ ticket, it.request.key };
    }
    if (m_bodies.empty() || m_bodies.front().due > now) {
        return std::nullopt;
    }
    const auto claimId = m_bodies.front().claimId;
    m_bodies.pop_front();
    return WriteBody{ claimId, bodyObjectKey(claimId), find(claimId)->claim.outcome->body };
}

void ClaimRegistry::onStoreResult(const StoreResult &result)
{
    std::visit(Overloaded{ [this](const ClaimRead &it) {
                              onClaimRead(it);
                          },
                           [this](const BodyRead &it) {
                               onBodyRead(it);
                           },
                           [this](const BodyWritten &it) {
                               onBodyWritten(it);
                           } },
               result);
}

void ClaimRegistry::tick()
{
    for (auto &[key, entry] : m_entries) {
        expireWaits(entry);
    }
    const auto now = m_clock.now();
    for (auto it = m_lookups.begin(); it != m_lookups.end();) {
        if (it->second.until > now) {
            ++it;
            continue;
        }
        answer(it->first, inProgressRefusal());
        it = m_lookups.erase(it);
    }
}

std::optional<TimePoint> ClaimRegistry::nextWake() const
{
    std::optional<TimePoint> wake;
    const auto consider = [&wake](TimePoint time) {
        wake = wake ? std::min(*wake, time) : time;
    };
    for (const auto &[key, entry] : m_entries) {
        if (entry.phase == Phase::Claiming) {
            consider(entry.time);
        }
        for (const auto &it : entry.waiters) {
            consider(it.until);
        }
    }
    for (const auto &[ticket, it] : m_lookups) {
        consider(it.reading ? it.until : std::min(it.until, it.nextRead));
    }
    if (!m_bodies.empty()) {
        consider(m_bodies.front().due);
    }
    return wake;
}

Claim ClaimRegistry::newClaim(const ClaimRequest &request)
{
    Claim claim;
    claim.key = request.key;
    claim.fingerprint = request.fingerprint;
    claim.claimId = fmt::format("{}-{}-{:016x}-{}", m_self.node.text(), m_self.incarnation, m_processTag, ++m_claimCount);
    claim.owner = m_self;
    claim.claimedAt = m_clock.wallNow();
    claim.expiresAt = claim.claimedAt + OutcomeRetention + ExpiryMargin;
    return claim;
}

void ClaimRegistry::join(ClaimTicket ticket, const ClaimRequest &request, Entry &entry)
{
    if (request.fingerprint != entry.claim.fingerprint) {
        answer(ticket, reusedRefusal());
        return;
    }
    switch (entry.phase) {
    case Phase::Abandoned:
    case Phase::Releasing:
        answer(ticket, notRunRefusal());
        return;
    case Phase::Finished:
        answer(ticket, ReplayOutcome{ *entry.claim.outcome });
        return;
    case Phase::Lost:
        answer(ticket, lostRefusal());
        return;
    case Phase::Claiming:
    case Phase::Granted:
    case Phase::Running:
        entry.waiters.push_back({ ticket, std::min(m_clock.now() + ResendWait, request.deadline) });
        return;
    }
}

void ClaimRegistry::resolve(ClaimTicket ticket, const ClaimRequest &request, TimePoint until, const Claim &existing)
{
    m_lookups.erase(ticket);
    if (existing.fingerprint != request.fingerprint) {
        answer(ticket, reusedRefusal());
        return;
    }
    if (existing.state == ClaimState::Running) {
        resolveRunning(ticket, request, until, existing);
        return;
    }
    if (existing.state == ClaimState::Lost) {
        answer(ticket, lostRefusal());
        return;
    }
    if (existing.outcome->bodyObject.empty()) {
        answer(ticket, ReplayOutcome{ *existing.outcome });
        return;
    }
    Lookup lookup{ request, std::min(m_clock.now() + ClaimPatience, request.deadline), m_clock.now(), false, existing.outcome };
    m_lookups.emplace(ticket, std::move(lookup));
}

void ClaimRegistry::resolveRunning(ClaimTicket ticket, const ClaimRequest &request, TimePoint until, const Claim &existing)
{
    if (m_abandoned.contains(existing.claimId)) {
        // An unanswered write of this process arrived late. It never ran, and the abandoned claim id is never granted.
        m_items.emplace_back(ReleaseItem{ { existing.key, existing.claimId } });
        answer(ticket, notRunRefusal());
        return;
    }
    // A running claim of this node that this process doesn't know belongs to an earlier process, or its record was lost.
    const bool isOwnNode = existing.owner.node == m_self.node;
    if (isOwnNode || m_liveness(existing.owner) == OwnerLiveness::Dead) {
        answer(ticket, lostRefusal());
        return;
    }
    m_lookups.emplace(ticket, Lookup{ request, until, m_clock.now() + PollInterval, false, std::nullopt });
}

void ClaimRegistry::onGranted(Entry &entry)
{
    // The answer must not depend on whether tick() ran before a late result arrived.
    expireWaits(entry);
    if (entry.phase == Phase::Abandoned) {
        entry.phase = Phase::Releasing;
        m_items.emplace_back(ReleaseItem{ { entry.claim.key, entry.claim.claimId } });
        return;
    }
    if (entry.phase != Phase::Claiming) {
        return;
    }
    entry.phase = Phase::Granted;
    entry.time = m_clock.now();
    answer(entry.ticket, MayRun{ entry.claim.claimId });
}

void ClaimRegistry::onTaken(Entry &entry, const Claim &existing)
{
    if (entry.phase == Phase::Claiming) {
        const auto until = std::min(m_clock.now() + ResendWait, entry.time);
        const ClaimRequest request{ entry.claim.key, entry.claim.fingerprint, entry.time };
        resolve(entry.ticket, request, until, existing);
        for (const auto &it : entry.waiters) {
            resolve(it.ticket, request, it.until, existing);
        }
    }
    erase(std::string(entry.claim.claimId));
}

void ClaimRegistry::onNotMade(Entry &entry, const ClaimNotMade &verdict)
{
    if (verdict.mayAppear) {
        rememberAbandoned({ entry.claim.key, entry.claim.claimId });
    }
    if (entry.phase == Phase::Claiming) {
        refuseNotRun(entry);
    }
    erase(std::string(entry.claim.claimId));
}

void ClaimRegistry::onClaimRead(const ClaimRead &result)
{
    const auto it = m_lookups.find(result.ticket);
    if (it == m_lookups.end()) {
        return;
    }
    const auto lookup = it->second;
    if (result.claim && *result.claim) {
        resolve(result.ticket, lookup.request, lookup.until, **result.claim);
        return;
    }
    if (result.claim) {
        // The claim that was in the way was released: it did not run, and neither did this attempt.
        m_lookups.erase(it);
        answer(result.ticket, notRunRefusal());
        return;
    }
    it->second.reading = false;
    it->second.nextRead = m_clock.now() + PollInterval;
}

void ClaimRegistry::onBodyRead(const BodyRead &result)
{
    const auto it = m_lookups.find(result.ticket);
    if (it == m_lookups.end()) {
        return;
    }
    auto outcome = std::move(*it->second.outcome);
    m_lookups.erase(it);
    if (!result.body) {
        refuse(result.ticket, RefusalReason::PlatformUnavailable, RunState::Unknown, "the recorded outcome can't be read now");
        return;
    }
    if (!*result.body) {
        answer(result.ticket, lostRefusal());
        return;
    }
    outcome.body = **result.body;
    outcome.bodyObject.clear();
    answer(result.ticket, ReplayOutcome{ std::move(outcome) });
}

void ClaimRegistry::onBodyWritten(const BodyWritten &result)
{
    const auto *entry = find(result.claimId);
    if (!entry) {
        return;
    }
    if (!result.result) {
        m_bodies.push_back({ result.claimId, m_clock.now() + BodyRetryDelay });
        return;
    }
    auto claim = entry->claim;
    claim.outcome->body.clear();
    claim.outcome->bodyObject = bodyObjectKey(result.claimId);
    m_items.emplace_back(OutcomeItem{ std::move(claim) });
}

void ClaimRegistry::answer(ClaimTicket ticket, ClaimVerdict verdict)
{
    m_answers.push_back({ ticket, std::move(verdict) });
}

void ClaimRegistry::refuse(ClaimTicket ticket, RefusalReason reason, RunState ran, const std::string &detail)
{
    const Duration retryAfter = reason == RefusalReason::BadRequest ? Duration() : ClaimRetryAfter;
    answer(ticket, Refusal{ reason, ran, retryAfter, detail });
}

void ClaimRegistry::refuseNotRun(Entry &entry)
{
    answer(entry.ticket, notRunRefusal());
    answerWaiters(entry, notRunRefusal());
}

void ClaimRegistry::answerWaiters(Entry &entry, const ClaimVerdict &verdict)
{
    for (const auto &it : std::exchange(entry.waiters, {})) {
        answer(it.ticket, verdict);
    }
}

void ClaimRegistry::record(const Entry &entry)
{
    m_items.emplace_back(OutcomeItem{ entry.claim });
}

void ClaimRegistry::onRecorded(Entry &entry)
{
    entry.recorded = true;
    m_recorded.push_back(entry.claim.claimId);
    if (m_recorded.size() > MostRecorded) {
        forgetOldestRecorded();
    }
}

void ClaimRegistry::forgetOldestRecorded()
{
    erase(m_recorded.front());
    m_recorded.pop_front();
}

void ClaimRegistry::expireWaits(Entry &entry)
{
    const auto now = m_clock.now();
    std::erase_if(entry.waiters, [&](const Waiter &it) {
        if (it.until > now) {
            return false;
        }
        answer(it.ticket, inProgressRefusal());
        return true;
    });
    if (entry.phase == Phase::Claiming && entry.time <= now) {
        refuseNotRun(entry);
        entry.phase = Phase::Abandoned;
    }
}

void ClaimRegistry::rememberAbandoned(const ClaimReference &claim)
{
    m_abandoned.emplace(claim.claimId, claim.key);
    m_abandonedOrder.push_back(claim.claimId);
    if (m_abandonedOrder.size() > MostAbandoned) {
        m_abandoned.erase(m_abandonedOrder.front());
        m_abandonedOrder.pop_front();
    }
}

ClaimRegistry::Entry *ClaimRegistry::find(const std::string &claimId)
{
    const auto key = m_keys.find(claimId);
    return key == m_keys.end() ? nullptr : &m_entries.at(key->second);
}

void ClaimRegistry::erase(const std::string &claimId)
{
    const auto key = m_keys.find(claimId);
    assert(key != m_keys.end());
    const auto it = m_entries.find(key->second);
    if (it->second.phase == Phase::Finished) {
        m_heldBytes -= it->second.claim.outcome->body.size();
    }
    m_entries.erase(it);
    m_keys.erase(key);
}

} // namespace Pimentohollow
