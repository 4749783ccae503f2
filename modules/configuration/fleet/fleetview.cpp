#include "configuration/fleet/fleetview.h"

#include <algorithm>

namespace Pimentohollow
{

namespace
{

using Exceptions = std::vector<const ExceptionEntity *>;

bool inForce(const ExceptionEntity &exception, WallTime now)
{
    return !exception.expires || now < *exception.expires;
}

template <typename Map, typename Key>
const Exceptions &exceptionsFor(const Map &map, const Key &key)
{
    static const Exceptions None;
    const auto it = map.find(key);
    return it == map.end() ? None : it->second;
}

void applyTo(RequestPolicy &policy, const ExceptionEntity &exception)
{
    policy.deadline = exception.deadline.value_or(policy.deadline);
    policy.retries = exception.retries.value_or(policy.retries);
}

} // namespace

FleetView::FleetView(std::uint64_t version, FleetConfiguration fleet)
    : m_version(version)
    , m_fleet(std::move(fleet))
{
    buildIndex();
}

void FleetView::buildIndex()
{
    for (const auto &[name, route] : m_fleet.routes) {
        m_routes[route.pathPrefix].push_back(&route);
        m_longestPrefix = std::max(m_longestPrefix, route.pathPrefix.size());
    }
    for (const auto &[name, exception] : m_fleet.exceptions) {
        if (exception.account) {
            m_accountExceptions[*exception.account].push_back(&exception);
        } else if (exception.route) {
            m_routeExceptions[*exception.route].push_back(&exception);
        } else if (exception.service) {
            m_serviceExceptions[*exception.service].push_back(&exception);
        } else {
            m_dataCentreExceptions.push_back(&exception);
        }
    }
}

std::uint64_t FleetView::version() const
{
    return m_version;
}

const FleetConfiguration &FleetView::fleet() const
{
    return m_fleet;
}

const RouteEntity *FleetView::routeAt(std::string_view prefix, std::string_view method) const
{
    const auto it = m_routes.find(prefix);
    if (it == m_routes.end()) {
        return nullptr;
    }
    for (const RouteEntity *route : it->second) {
        if (std::find(route->methods.begin(), route->methods.end(), method) != route->methods.end()) {
            return route;
        }
    }
    return nullptr;
}

const RouteEntity *FleetView::route(std::string_view method, std::string_view path) const
{
    if (path.empty() || path.front() != '/') {
        return nullptr;
    }
    // Prefixes longer than the longest configured one can't match; a path of many segments costs no more than that.
    std::string_view prefix = path;
    if (prefix.size() > m_longestPrefix) {
        const bool boundary = path[m_longestPrefix] == '/';
        prefix = path.substr(0, m_longestPrefix);
        prefix = boundary ? prefix : prefix.substr(0, prefix.rfind('/'));
    }
    while (!prefix.empty()) {
        if (const RouteEntity *route = routeAt(prefix, method)) {
            return route;
        }
        prefix = prefix.substr(0, prefix.rfind('/'));
    }
    return routeAt("/", method);
}

std::optional<AccountLimits> FleetView::accountLimits(const AccountName &account, WallTime now) const
{
    const auto entity = m_fleet.accounts.find(account);
    if (entity == m_fleet.accounts.end()) {
        return std::nullopt;
    }
    AccountLimits limits{ entity->second.rate, entity->second.burst };
    for (const ExceptionEntity *it : exceptionsFor(m_accountExceptions, account)) {
        if (inForce(*it, now)) {
            limits.rate = it->rate.value_or(limits.rate);
            limits.burst = it->burst.value_or(limits.burst);
        }
    }
    return limits;
}

RequestPolicy FleetView::requestPolicy(const RouteEntity &route, const AccountName &account, WallTime now) const
{
    const DefaultsEntity &defaults = m_fleet.defaults;
    RequestPolicy policy;
    policy.deadline = route.deadline.value_or(defaults.deadline);
    policy.retries = route.retries.value_or(defaults.retries);
    policy.maximumDeadline = defaults.maximumDeadline;
    for (const ExceptionEntity *it : exceptionsFor(m_routeExceptions, route.name)) {
        if (inForce(*it, now)) {
            applyTo(policy, *it);
        }
    }
    const Exceptions &forAccount = exceptionsFor(m_accountExceptions, account);
    for (const ExceptionEntity *it : forAccount) {
        if (inForce(*it, now) && !it->route) {
            applyTo(policy, *it);
        }
    }
    for (const ExceptionEntity *it : forAccount) {
        if (inForce(*it, now) && it->route == route.name) {
            applyTo(policy, *it);
        }
    }
    return policy;
}

ServiceLimits FleetView::serviceLimits(const ServiceName &service, WallTime now) const
{
    ServiceLimits limits = m_fleet.defaults.limits;
    if (const auto it = m_fleet.services.find(service); it != m_fleet.services.end()) {
        limits.minimumLimit = it->second.minimumLimit.value_or(limits.minimumLimit);
        limits.initialLimit = it->second.initialLimit.value_or(limits.initialLimit);
        limits.maximumLimit = it->second.maximumLimit.value_or(limits.maximumLimit);
        limits.queueLength = it->second.queueLength.value_or(limits.queueLength);
    }
    for (const ExceptionEntity *it : exceptionsFor(m_serviceExceptions, service)) {
        if (inForce(*it, now)) {
            limits.maximumLimit = it->maximumLimit.value_or(limits.maximumLimit);
            limits.queueLength = it->queueLength.value_or(limits.queueLength);
        }
    }
    limits.minimumLimit = std::min(limits.minimumLimit, limits.maximumLimit);
    limits.initialLimit = std::min(limits.initialLimit, limits.maximumLimit);
    return limits;
}

std::optional<Duration> FleetView::serveWhenCutOff(const DataCentreName &dataCentre, WallTime now) const
{
    std::optional<Duration> forAll;
    for (const ExceptionEntity *it : m_dataCentreExceptions) {
        if (!it->serveWhenCutOff || !inForce(*it, now)) {
            continue;
        }
        if (it->dataCentre == dataCentre) {
            return it->serveWhenCutOff;
        }
        if (!it->dataCentre) {
            forAll = it->serveWhenCutOff;
        }
    }
    return forAll;
}

const DrainEntity *FleetView::drain(const NodeName &node, std::uint64_t incarnation) const
{
    const auto it = m_fleet.drains.find(node);
    if (it == m_fleet.drains.end()) {
        return nullptr;
    }
    const bool applies = !it->second.incarnation || incarnation <= *it->second.incarnation;
    return applies ? &it->second : nullptr;
}

} // namespace Pimentohollow
