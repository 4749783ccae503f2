#pragma once

#include "core/clock.h"
#include "core/enumtable.h"
#include "core/names.h"

#include <cstdint>
#include <string>

namespace Pimentohollow
{

/** Order in which requests are shed: all normal ones before any important one. */
enum class Priority : std::uint8_t {
    Normal,
    Important,
};

inline constexpr auto PriorityNames = makeEnumTable<Priority>({
    { Priority::Normal, "normal" },
    { Priority::Important, "important" },
});

/** What travels with a request through the whole call chain. */
struct RequestContext {
    /** Random 128-bit id in lower-case hex; unguessable, because it stands for the right to act for the account. */
    std::string requestId;
    AccountName account;
    ServiceName service;
    RouteName route;
    Priority priority = Priority::Normal;
    bool idempotent = false;
    /** On this process's clock; between nodes the remaining time travels instead. */
    TimePoint deadline{};
    /** Retries that the whole chain below may still spend. */
    std::uint32_t retriesLeft = 0;
    /** Number of calls above this one; 0 for a request from a caller. */
    std::uint32_t depth = 0;
};

} // namespace Pimentohollow
