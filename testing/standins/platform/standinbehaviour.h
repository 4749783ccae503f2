#pragma once

#include "core/enumtable.h"

#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>

namespace Pimentohollow
{

enum class StandinOutage {
    None,
    Close, ///< closes each connection without an answer; nothing takes effect
    Hang, ///< answers nothing for 30 s; nothing takes effect
    Refuse, ///< answers that the service is throttled; nothing takes effect
    Down, ///< doesn't listen at all
};

inline constexpr auto StandinOutageNames = makeEnumTable<StandinOutage>({
    { StandinOutage::None, "none" },
    { StandinOutage::Close, "close" },
    { StandinOutage::Hang, "hang" },
    { StandinOutage::Refuse, "refuse" },
    { StandinOutage::Down, "down" },
});

/** How the stand-in treats requests; set through its control URL. */
struct StandinBehaviour {
    StandinOutage outage = StandinOutage::None;
    /** Waits so long before each request is executed. */
    std::chrono::milliseconds delay{};
    /** The next writes take effect, but their connections are closed without an answer. */
    std::uint64_t loseAnswers = 0;
    /** 0 means no limit. Requests above it are throttled. */
    std::uint64_t writesPerSecond = 0;
    std::uint64_t readsPerSecond = 0;
};

/** What the stand-in has seen since it started. */
struct StandinCounters {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t throttled = 0;
    std::uint64_t lostAnswers = 0;
    std::uint64_t badSignatures = 0;
};

enum class StandinVerdict {
    Execute,
    ExecuteAndLoseAnswer,
    Close,
    Hang,
    Throttle,
};

/** Decides what happens to each request. Thread-safe. */
class StandinControl
{
public:
    void set(const StandinBehaviour &behaviour);
    StandinBehaviour behaviour() const;
    StandinCounters counters() const;

    StandinVerdict judge(bool isWrite);
    void countBadSignature();

private:
    bool withinLimit(bool isWrite);

    mutable std::mutex m_mutex;
    StandinBehaviour m_behaviour;
    StandinCounters m_counters;
    std::chrono::steady_clock::time_point m_windowStart;
    std::uint64_t m_windowReads = 0;
    std::uint64_t m_windowWrites = 0;
};

} // namespace Pimentohollow
