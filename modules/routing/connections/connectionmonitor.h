#pragma once

#include "core/clock.h"
#include "core/enumtable.h"

#include <optional>
#include <variant>

namespace Pimentohollow
{

struct HeartbeatMissed {
};
struct HeartbeatAnswered {
};
struct NewConnectionOk {
};
struct NewConnectionFailed {
};
/** The pause that TryAgainLater asked for is over. */
struct RetryDue {
};

using ConnectionInput = std::variant<HeartbeatMissed, HeartbeatAnswered, NewConnectionOk, NewConnectionFailed, RetryDue>;

/** The open connection answers. */
struct ConnectionHealthy {
};
/** The old connection is silent and closed; a new one is being tried. Nothing is known about the upstream. */
struct ConnectionInDoubt {
};
/** No connection can be opened. */
struct PeerUnreachable {
    std::uint32_t attempts = 1;
};

using ConnectionState = std::variant<ConnectionHealthy, ConnectionInDoubt, PeerUnreachable>;

/** Close the open connection at once and don't reuse it; open a new one. Outcomes of its calls are asked for over the new one. */
struct ReplaceConnection {
};
/** The new connection works: only the old one was silent. */
struct ReportSilentConnection {
};
/** Leave the peer out: its upstream takes no new work through this node. */
struct ReportUnreachable {
    Duration tryAgainAfter{};
};
/** Still no connection. */
struct TryAgainLater {
    Duration tryAgainAfter{};
};
struct OpenConnection {
};
/** The peer is back. */
struct ReportReachable {
};

using ConnectionAction =
    std::variant<ReplaceConnection, ReportSilentConnection, ReportUnreachable, TryAgainLater, OpenConnection, ReportReachable>;

/**
 * Tells a connection that went silent from a peer that is dead: a new connection is tried before a verdict.
 * One per link; inputs that don't fit the state are ignored, because they may belong to a connection that is closed already.
 */
class ConnectionMonitor
{
public:
    static constexpr Duration FirstRetry = std::chrono::milliseconds(250);
    static constexpr Duration LongestRetry = std::chrono::seconds(4);

    /** The action that the input calls for, if any. */
    std::optional<ConnectionAction> onInput(const ConnectionInput &input);

    const ConnectionState &state() const
    {
        return m_state;
    }

private:
    std::optional<ConnectionAction> onUnreachable(const ConnectionInput &input, PeerUnreachable &state);

    ConnectionState m_state = ConnectionHealthy{};
};

} // namespace Pimentohollow
