#pragma once

#include "core/error.h"

#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <string>

namespace Pimentohollow
{

/** How the platform misbehaves in a test. */
enum class PlatformFault {
    None,
    Unavailable, ///< the call fails; nothing was done
    Timeout, ///< no answer in time; nothing was done, but the caller can't know
    LostAnswer, ///< the call takes effect, but its answer is lost
};

inline constexpr auto PlatformFaultNames = makeEnumTable<PlatformFault>({
    { PlatformFault::None, "none" },
    { PlatformFault::Unavailable, "unavailable" },
    { PlatformFault::Timeout, "timeout" },
    { PlatformFault::LostAnswer, "lost_answer" },
});

/** Decides which calls of the memory implementations fail. Thread-safe. */
class FaultInjector
{
public:
    /** All calls fail in this way until the next call of setAll(); None ends it. */
    void setAll(PlatformFault fault);

    /** The next call whose step is @p step fails in this way, for example "table.transact". */
    void failNext(const std::string &step, PlatformFault fault);

    /** Called before each call that isn't answered by a fault; for races at an exact point. May be empty. */
    void setHook(std::function<void(const std::string &step)> hook);

    /** The fault of this call. */
    PlatformFault take(const std::string &step);

    /** The error that @p fault shows to the caller; not for None. */
    static Error error(PlatformFault fault, const std::string &step);

private:
    struct Planned {
        std::string step;
        PlatformFault fault;
    };

    std::mutex m_mutex;
    PlatformFault m_all = PlatformFault::None;
    std::deque<Planned> m_planned;
    std::function<void(const std::string &)> m_hook;
};

} // namespace Pimentohollow
