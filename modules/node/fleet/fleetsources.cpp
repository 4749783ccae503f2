#include "node/fleet/fleetsources.h"

namespace Pimentohollow
{

FleetRoutes::FleetRoutes(const Clock &clock)
    : m_clock(clock)
{
}

void FleetRoutes::replace(std::shared_ptr<const FleetView> view)
{
    const std::lock_guard lock(m_mutex);
    m_view = std::move(view);
}

std::shared_ptr<const FleetView> FleetRoutes::view() const
{
    const std::lock_guard lock(m_mutex);
    return m_view;
}

void FleetRoutes::setCutOff(bool cutOff)
{
    m_cutOff = cutOff;
}

bool FleetRoutes::ready() const
{
    return !m_cutOff && view() != nullptr;
}

std::optional<RouteMatch> FleetRoutes::match(std::string_view method, std::string_view path) const
{
    const auto view = this->view();
    const RouteEntity *route = view ? view->route(method, path) : nullptr;
    if (route == nullptr) {
        return std::nullopt;
    }
    const Priority priority = route->important ? Priority::Important : Priority::Normal;
    return RouteMatch{ route->name, route->service, route->idempotent, route->openToAll, priority };
}

RouteLimits FleetRoutes::limits(const RouteName &route, const AccountName &account) const
{
    const auto view = this->view();
    if (!view) {
        return {};
    }
    const auto it = view->fleet().routes.find(route);
    if (it == view->fleet().routes.end()) {
        return {}; // a newer version removed the route after the request matched it
    }
    const RequestPolicy policy = view->requestPolicy(it->second, account, m_clock.wallNow());
    return { policy.deadline, policy.maximumDeadline, policy.retries };
}

FleetKeys::FleetKeys(const KeyTable &table)
    : m_table(table)
{
}

std::optional<AccountName> FleetKeys::accountOf(std::string_view key) const
{
    const KeyCheck check = m_table.check(key);
    return check.status == KeyStatus::Valid ? std::optional(check.account) : std::nullopt;
}

FleetQuota::FleetQuota(QuotaTask &task)
    : m_task(task)
{
}

std::optional<Refusal> FleetQuota::take(const AccountName &account)
{
    return m_task.take(account);
}

FleetClaims::FleetClaims(ClaimTask &task)
    : m_task(task)
{
}

ClaimVerdict FleetClaims::claim(const ClaimRequest &request, Cancellation &cancellation)
{
    ClaimVerdict verdict = m_task.begin(request);
    if (cancellation.cancelled()) {
        if (const auto *granted = std::get_if<MayRun>(&verdict)) {
            m_task.release(granted->claimId);
        }
        return Refusal{ RefusalReason::DeadlineExceeded, RunState::NotRun, {}, "the caller is gone" };
    }
    return verdict;
}

bool FleetClaims::startRun(const std::string &claimId)
{
    return m_task.startRun(claimId);
}

void FleetClaims::finish(const std::string &claimId, ClaimOutcome outcome)
{
    m_task.finish(claimId, std::move(outcome));
}

void FleetClaims::lose(const std::string &claimId)
{
    m_task.lose(claimId);
}

void FleetClaims::release(const std::string &claimId)
{
    m_task.release(claimId);
}

} // namespace Pimentohollow
