#pragma once

#include "admission/limits/limitsample.h"

namespace Pimentohollow
{

/** Settings of AimdLimit. */
struct AimdLimitSettings {
    std::uint32_t initial = 20;
    std::uint32_t smallest = 2;
    std::uint32_t largest = 2000;
    /** Answers slower than this count as overload; has to be chosen for each service, which is why this is not the default. */
    Duration slow = std::chrono::milliseconds(100);
    double decrease = 0.9;
};

/** Additive increase for each round of good answers, multiplicative decrease on slow, shed or timed-out ones. */
class AimdLimit
{
public:
    explicit AimdLimit(AimdLimitSettings settings);

    std::uint32_t limit() const;
    void record(const LimitSample &sample, TimePoint now);
    void restart(TimePoint now);

private:
    AimdLimitSettings m_settings;
    double m_limit;
    /** Answers to requests that started before the last decrease say nothing about the decreased limit. */
    TimePoint m_decreasedAt{};
};

} // namespace Pimentohollow
