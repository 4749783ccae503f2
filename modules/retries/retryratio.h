#pragma once

#include <cstdint>

namespace Pimentohollow
{

/**
 * Token ratio that keeps a node's retries below a share of its first attempts.
 * It starts empty, so the bound holds from the first request on.
 */
class RetryRatio
{
public:
    /** One retry per ten first attempts. */
    static constexpr std::uint32_t DefaultFirstAttemptsPerRetry = 10;
    /** Bounds the retries that a long calm period can save up for a later overload. */
    static constexpr std::uint32_t DefaultMaxSavedRetries = 100;

    explicit RetryRatio(std::uint32_t firstAttemptsPerRetry = DefaultFirstAttemptsPerRetry,
                        std::uint32_t maxSavedRetries = DefaultMaxSavedRetries);

    void recordFirstAttempt();

    /** Whether tryConsume() would succeed. */
    bool available() const;

    /** Takes the right to one retry; false if the ratio is used up. */
    bool tryConsume();

private:
    std::uint32_t m_firstAttemptsPerRetry;
    std::uint32_t m_maxSaved;
    /** First attempts that no retry has used yet. */
    std::uint32_t m_saved = 0;
};

} // namespace Pimentohollow
