#include "routing/connections/connectionmonitor.h"

#include <algorithm>

namespace Pimentohollow
{

namespace
{

Duration pauseAfter(std::uint32_t attempts)
{
    return std::min(ConnectionMonitor::FirstRetry * (1U << std::min(attempts - 1, 4U)), ConnectionMonitor::LongestRetry);
}

} // namespace

std::optional<ConnectionAction> ConnectionMonitor::onInput(const ConnectionInput &input)
{
    if (auto *unreachable = std::get_if<PeerUnreachable>(&m_state)) {
        return onUnreachable(input, *unreachable);
    }
    if (std::holds_alternative<ConnectionHealthy>(m_state)) {
        if (!std::holds_alternative<HeartbeatMissed>(input)) {
            return std::nullopt;
        }
        m_state = ConnectionInDoubt{};
        return ReplaceConnection{};
    }
    if (std::holds_alternative<NewConnectionOk>(input)) {
        m_state = ConnectionHealthy{};
        return ReportSilentConnection{};
    }
    if (std::holds_alternative<NewConnectionFailed>(input)) {
        m_state = PeerUnreachable{};
        return ReportUnreachable{ pauseAfter(1) };
    }
    return std::nullopt;
}

std::optional<ConnectionAction> ConnectionMonitor::onUnreachable(const ConnectionInput &input, PeerUnreachable &state)
{
    if (std::holds_alternative<NewConnectionOk>(input)) {
        m_state = ConnectionHealthy{};
        return ReportReachable{};
    }
    if (std::holds_alternative<NewConnectionFailed>(input)) {
        return TryAgainLater{ pauseAfter(++state.attempts) };
    }
    if (std::holds_alternative<RetryDue>(input)) {
        return OpenConnection{};
    }
    return std::nullopt;
}

} // namespace Pimentohollow
