#pragma once

#include "core/clock.h"
#include "core/enumtable.h"

#include <string>

namespace Pimentohollow
{

/** Whether a refused request was run; never a guess. */
enum class RunState {
    NotRun, ///< no byte of the request reached an upstream
    Unknown, ///< it may have run, fully or in part
};

inline constexpr auto RunStateNames = makeEnumTable<RunState>({
    { RunState::NotRun, "no" },
    { RunState::Unknown, "unknown" },
});

/** Why a request was refused; the name is the machine-readable "reason" in the answer. */
enum class RefusalReason {
    BadRequest, ///< malformed, too large, or a shape that could be read in two ways
    Unauthorized, ///< no key, an unknown key or a withdrawn key
    NoRoute, ///< no configured route matches
    RateExceeded, ///< the client account used up its rate and burst
    Overloaded, ///< shed by the serving node's limit or queue
    DownstreamOverloaded, ///< a deeper service would refuse the call
    DeadlineExceeded, ///< the deadline passed, or can't be met
    NoUpstream, ///< no upstream of the service is available
    UpstreamFailed, ///< the upstream's connection failed or its answer was not whole
    PlatformUnavailable, ///< a claim could not be committed
    InProgress, ///< another request with the same Idempotency-Key is running
    IdempotencyKeyReused, ///< the same Idempotency-Key came with another request
    OutcomeLost, ///< the runner of the claimed request died before the outcome was recorded
    Poison, ///< the request crashed upstreams before
    Draining, ///< the node is shutting down
    NotReady, ///< the node has no configuration yet
};

inline constexpr auto RefusalReasonNames = makeEnumTable<RefusalReason>({
    { RefusalReason::BadRequest, "bad_request" },
    { RefusalReason::Unauthorized, "unauthorized" },
    { RefusalReason::NoRoute, "no_route" },
    { RefusalReason::RateExceeded, "rate_exceeded" },
    { RefusalReason::Overloaded, "overloaded" },
    { RefusalReason::DownstreamOverloaded, "downstream_overloaded" },
    { RefusalReason::DeadlineExceeded, "deadline_exceeded" },
    { RefusalReason::NoUpstream, "no_upstream" },
    { RefusalReason::UpstreamFailed, "upstream_failed" },
    { RefusalReason::PlatformUnavailable, "platform_unavailable" },
    { RefusalReason::InProgress, "in_progress" },
    { RefusalReason::IdempotencyKeyReused, "idempotency_key_reused" },
    { RefusalReason::OutcomeLost, "outcome_lost" },
    { RefusalReason::Poison, "poison" },
    { RefusalReason::Draining, "draining" },
    { RefusalReason::NotReady, "not_ready" },
});

/** The final answer to a request that is given up. */
struct Refusal {
    RefusalReason reason = RefusalReason::Overloaded;
    RunState ran = RunState::Unknown;
    /** When the caller may come back; zero if coming back doesn't help. */
    Duration retryAfter{};
    /** One sentence for people; no secrets. */
    std::string detail;

    bool operator==(const Refusal &) const = default;
};

} // namespace Pimentohollow
