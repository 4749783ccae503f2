#pragma once

#include "core/clock.h"
#include "core/names.h"
#include "poison/requestfingerprint.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Pimentohollow
{

/** Names one crash of one upstream in the fleet, so that a crash learned on several ways counts once. */
struct CrashId {
    NodeName node;
    /** Incarnation of the upstream that crashed. */
    std::uint64_t incarnation = 0;

    bool operator==(const CrashId &) const = default;

    friend bool operator<(const CrashId &a, const CrashId &b)
    {
        return a.incarnation != b.incarnation ? a.incarnation < b.incarnation : a.node < b.node;
    }

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(node, incarnation);
    }
};

/** What a node tells the others about one fingerprint; spread by gossip. Merging is commutative and may be repeated. */
struct CrashReport {
    RequestFingerprint fingerprint;
    std::vector<CrashId> crashes;
    /** Number of completions that are known to have cleared the fingerprint; crashes of a lower count don't matter any more. */
    std::uint64_t clearings = 0;
    /** Time that the report stays valid, in ms; clocks of different nodes are not compared. */
    std::uint32_t remainingMilliseconds = 0;

    bool operator==(const CrashReport &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(fingerprint, crashes, clearings, remainingMilliseconds);
    }
};

enum class PoisonVerdict {
    Run, ///< not suspected
    RunAlone, ///< suspected; runs while no other suspect runs on that upstream
    Wait, ///< suspected, and another suspect is running there
    Refuse, ///< crashed MostCrashes upstreams
};

/**
 * Remembers which requests were in flight when an upstream crashed, and refuses those that crashed upstreams twice.
 *
 * A request that merely shared the upstream is suspected as well; its first completion clears it. At most one suspect runs on an
 * upstream at a time, so that a second crash counts against one suspect only. Everything expires after Memory, and at most MostFingerprints
 * are kept. Not thread-safe.
 */
class CrashTracker
{
public:
    static constexpr std::size_t MostCrashes = 2;
    static constexpr Duration Memory = std::chrono::minutes(10);
    /** About 200 bytes each, 2 MB in all. */
    static constexpr std::size_t MostFingerprints = 10000;

    explicit CrashTracker(const Clock &clock);

    /** Whether the request may run on the upstream beside @p node now. On Run or RunAlone the caller calls started(). */
    PoisonVerdict check(const RequestFingerprint &fingerprint, const NodeName &node);

    void started(const RequestFingerprint &fingerprint, const NodeName &node);

    /** The request has its complete answer: it is no longer suspected. */
    void completed(const RequestFingerprint &fingerprint, const NodeName &node);

    /** The request ended without a crash and without showing that it is harmless, for example cancelled. */
    void ended(const RequestFingerprint &fingerprint, const NodeName &node);

    /** The upstream beside @p node crashed; everything in flight there is suspected. A crash that is already known counts once. */
    void crashed(const CrashId &crash);

    /** Takes what another node reported. */
    void merge(const CrashReport &report);

    /** Reports that changed since the last call, for gossip. */
    std::vector<CrashReport> takeReports();

    /** All reports, for a node that has just joined. */
    std::vector<CrashReport> allReports();

    std::size_t size() const
    {
        return m_suspects.size();
    }

private:
    struct Suspect {
        std::set<CrashId> crashes;
        std::uint64_t clearings = 0;
        TimePoint expiresAt{};
        bool changed = false;
    };

    struct InFlight {
        std::unordered_map<RequestFingerprint, std::uint32_t> counts;
        std::optional<RequestFingerprint> suspect;
    };

    Suspect *find(const RequestFingerprint &fingerprint);
    Suspect &addSuspect(const RequestFingerprint &fingerprint);
    void makeRoom();
    void remove(const RequestFingerprint &fingerprint, const NodeName &node);
    CrashReport report(const RequestFingerprint &fingerprint, const Suspect &suspect) const;
    void expire();

    const Clock &m_clock;
    std::unordered_map<RequestFingerprint, Suspect> m_suspects;
    std::unordered_map<NodeName, InFlight> m_inFlight;
    TimePoint m_nextExpiry{};
};

} // namespace Pimentohollow
