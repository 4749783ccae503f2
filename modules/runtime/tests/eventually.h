#pragma once

#include <chrono>
#include <thread>

namespace Pimentohollow
{

/** Repeats @p condition until it holds. The limit is far above what a slow machine needs, so it doesn't decide a verdict. */
template <typename Condition>
bool eventually(const Condition &condition)
{
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(60);
    while (std::chrono::steady_clock::now() < limit) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return false;
}

} // namespace Pimentohollow
