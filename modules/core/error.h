#pragma once

#include "core/enumtable.h"

#include <string>
#include <tl/expected.hpp>

namespace Pimentohollow
{

/** What kind of failure an Error reports; callers decide by this, never by the message. */
enum class ErrorKind {
    InvalidInput, ///< malformed or out of bounds; repeating the same input fails again
    NotFound,
    Conflict, ///< a condition of a write did not hold; nothing was written
    Unauthorized,
    Unavailable, ///< the peer could not be reached; nothing was done there
    Timeout, ///< no answer in time; the operation may have taken effect
    OutcomeUnknown, ///< the connection failed after the operation was sent; it may have taken effect
    Closed, ///< the local end is shutting down
    Internal,
};

inline constexpr auto ErrorKindNames = makeEnumTable<ErrorKind>({
    { ErrorKind::InvalidInput, "invalid_input" },
    { ErrorKind::NotFound, "not_found" },
    { ErrorKind::Conflict, "conflict" },
    { ErrorKind::Unauthorized, "unauthorized" },
    { ErrorKind::Unavailable, "unavailable" },
    { ErrorKind::Timeout, "timeout" },
    { ErrorKind::OutcomeUnknown, "outcome_unknown" },
    { ErrorKind::Closed, "closed" },
    { ErrorKind::Internal, "internal" },
});

/** A failure with the step and the peer at which it arose. */
struct Error {
    ErrorKind kind = ErrorKind::Internal;
    /** The operation that failed, for example "table.transact". */
    std::string step;
    /** The address or name of the other side; empty for local failures. */
    std::string peer;
    /** What went wrong, for people. Never contains a key or a secret. */
    std::string message;

    /** One line for logs and command-line output: "step (peer): kind: message". */
    std::string describe() const;

    bool operator==(const Error &) const = default;
};

template <typename T>
using Result = tl::expected<T, Error>;

/** Shorthand for returning a failure from a function that returns a Result. */
tl::unexpected<Error> failure(ErrorKind kind, std::string step, std::string message, std::string peer = {});

} // namespace Pimentohollow
