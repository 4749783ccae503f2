#pragma once

#include "core/cancellation.h"
#include "core/refusal.h"
#include "poison/poison.h"

#include <condition_variable>
#include <mutex>
#include <vector>

namespace Pimentohollow
{

/** CrashTracker for the connection threads of one serving node. Thread-safe. */
class PoisonGuard
{
public:
    /** Longest wait of a suspected request for another one that is running. */
    static constexpr Duration LongestWait = std::chrono::milliseconds(200);

    /** How a run ended, as far as suspicion is concerned. */
    enum class End {
        Completed,
        WithoutAnswer,
    };

    PoisonGuard(NodeName self, const Clock &clock);

    /** Waits until the request may run; a refusal if it crashed upstreams before. On success ended() must follow. */
    std::optional<Refusal> begin(const RequestFingerprint &fingerprint, TimePoint deadline);

    void end(const RequestFingerprint &fingerprint, End how);

    /** The upstream process crashed. Requests that were in flight call this before end(). */
    void crashed(std::uint64_t upstreamIncarnation);

    /** Exchange with other nodes. */
    void merge(const CrashReport &report);
    std::vector<CrashReport> takeReports();

private:
    NodeName m_self;
    const Clock &m_clock;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    CrashTracker m_tracker;
};

} // namespace Pimentohollow
