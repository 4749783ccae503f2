#include "poison/crashtracker.h"

#include <algorithm>

namespace Pimentohollow
{

namespace
{

constexpr Duration ExpiryInterval = std::chrono::seconds(1);

} // namespace

CrashTracker::CrashTracker(const Clock &clock)
    : m_clock(clock)
{
}

PoisonVerdict CrashTracker::check(const RequestFingerprint &fingerprint, const NodeName &node)
{
    const auto *suspect = find(fingerprint);
    if (!suspect || suspect->crashes.empty()) {
        return PoisonVerdict::Run;
    }
    if (suspect->crashes.size() >= MostCrashes) {
        return PoisonVerdict::Refuse;
    }
    const auto it = m_inFlight.find(node);
    const bool isTaken = it != m_inFlight.end() && it->second.suspect;
    return isTaken ? PoisonVerdict::Wait : PoisonVerdict::RunAlone;
}

void CrashTracker::started(const RequestFingerprint &fingerprint, const NodeName &node)
{
    auto &inFlight = m_inFlight[node];
    ++inFlight.counts[fingerprint];
    const auto *suspect = find(fingerprint);
    if (suspect && !suspect->crashes.empty()) {
        inFlight.suspect = fingerprint;
    }
}

void CrashTracker::completed(const RequestFingerprint &fingerprint, const NodeName &node)
{
    remove(fingerprint, node);
    auto *suspect = find(fingerprint);
    if (!suspect || suspect->crashes.empty()) {
        return;
    }
    suspect->crashes.clear();
    ++suspect->clearings;
    suspect->changed = true;
}

void CrashTracker::ended(const RequestFingerprint &fingerprint, const NodeName &node)
{
    remove(fingerprint, node);
}

void CrashTracker::crashed(const CrashId &crash)
{
    const auto it = m_inFlight.find(crash.node);
    if (it == m_inFlight.end()) {
        return;
    }
    const auto inFlight = std::move(it->second);
    m_inFlight.erase(it);
    for (const auto &[fingerprint, count] : inFlight.counts) {
        auto &suspect = addSuspect(fingerprint);
        if (suspect.crashes.size() < MostCrashes && suspect.crashes.insert(crash).second) {
            suspect.expiresAt = m_clock.now() + Memory;
            suspect.changed = true;
        }
    }
}

void CrashTracker::merge(const CrashReport &report)
{
    expire();
    const auto *known = find(report.fingerprint);
    const bool isStale = known && report.clearings < known->clearings;
    if (isStale || report.remainingMilliseconds == 0) {
        return;
    }
    auto &suspect = addSuspect(report.fingerprint);
    bool learned = false;
    if (report.clearings > suspect.clearings) {
        suspect.crashes.clear();
        suspect.clearings = report.clearings;
        learned = true;
    }
    for (const auto &it : report.crashes) {
        // Further crashes change nothing, and a report must not grow without bound.
        learned = (suspect.crashes.size() < MostCrashes && suspect.crashes.insert(it).second) || learned;
    }
    if (!learned) {
        return;
    }
    // Only news extend the time, so that reports which go round between nodes don't live for ever.
    const Duration remaining = std::chrono::milliseconds(report.remainingMilliseconds);
    suspect.expiresAt = std::max(suspect.expiresAt, m_clock.now() + std::min(remaining, Memory));
    suspect.changed = true;
}

std::vector<CrashReport> CrashTracker::takeReports()
{
    expire();
    std::vector<CrashReport> reports;
    for (auto &[fingerprint, suspect] : m_suspects) {
        if (std::exchange(suspect.changed, false)) {
            reports.push_back(report(fingerprint, suspect));
        }
    }
    return reports;
}

std::vector<CrashReport> CrashTracker::allReports()
{
    expire();
    std::vector<CrashReport> reports;
    for (const auto &[fingerprint, suspect] : m_suspects) {
        reports.push_back(report(fingerprint, suspect));
    }
    return reports;
}

CrashTracker::Suspect *CrashTracker::find(const RequestFingerprint &fingerprint)
{
    const auto it = m_suspects.find(fingerprint);
    if (it == m_suspects.end()) {
        return nullptr;
    }
    if (it->second.expiresAt <= m_clock.now()) {
        m_suspects.erase(it);
        return nullptr;
    }
    return &it->second;
}

CrashTracker::Suspect &CrashTracker::addSuspect(const RequestFingerprint &fingerprint)
{
    if (auto *suspect = find(fingerprint)) {
        return *suspect;
    }
    makeRoom();
    auto &suspect = m_suspects[fingerprint];
    suspect.expiresAt = m_clock.now() + Memory;
    return suspect;
}

void CrashTracker::makeRoom()
{
    if (m_suspects.size() < MostFingerprints) {
        return;
    }
    // The least suspected one goes, and among those the oldest: verdicts are kept the longest.
    const auto isLess = [](const auto &a, const auto &b) {
        return std::pair(a.second.crashes.size(), a.second.expiresAt) < std::pair(b.second.crashes.size(), b.second.expiresAt);
    };
    m_suspects.erase(std::min_element(m_suspects.begin(), m_suspects.end(), isLess));
}

void CrashTracker::remove(const RequestFingerprint &fingerprint, const NodeName &node)
{
    const auto it = m_inFlight.find(node);
    if (it == m_inFlight.end()) {
        return;
    }
    auto &inFlight = it->second;
    const auto count = inFlight.counts.find(fingerprint);
    if (count == inFlight.counts.end() || --count->second > 0) {
        return;
    }
    inFlight.counts.erase(count);
    if (inFlight.suspect == fingerprint) {
        inFlight.suspect.reset();
    }
    if (inFlight.counts.empty()) {
        m_inFlight.erase(it);
    }
}

CrashReport CrashTracker::report(const RequestFingerprint &fingerprint, const Suspect &suspect) const
{
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(suspect.expiresAt - m_clock.now());
    return CrashReport{ fingerprint,
                        { suspect.crashes.begin(), suspect.crashes.end() },
                        suspect.clearings,
                        static_cast<std::uint32_t>(std::max<std::int64_t>(remaining.count(), 0)) };
}

void CrashTracker::expire()
{
    const auto now = m_clock.now();
    if (now < m_nextExpiry) {
        return;
    }
    m_nextExpiry = now + ExpiryInterval;
    std::erase_if(m_suspects, [now](const auto &it) {
        return it.second.expiresAt <= now;
    });
}

} // namespace Pimentohollow
