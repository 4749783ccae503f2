#include "configuration/fleet/fleetconfiguration.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace Pimentohollow
{

namespace
{

constexpr std::size_t DigestHexBytes = 64;

/** Collects the findings about one document. */
class FleetChecker
{
public:
    FleetChecker(const FleetConfiguration &fleet, const std::string &file, const EntityPlaces &places)
        : m_fleet(fleet)
        , m_file(file)
        , m_places(places)
    {
    }

    Findings run()
    {
        checkDefaults();
        for (const auto &it : m_fleet.services) {
            checkService(it.second);
        }
        for (const auto &it : m_fleet.routes) {
            checkRoute(it.second);
        }
        for (const auto &it : m_fleet.exceptions) {
            checkException(it.second);
        }
        for (const auto &it : m_fleet.keys) {
            checkKey(it.second);
        }
        checkDuplicateRoutes();
        checkDuplicateExceptions();
        return std::move(m_findings);
    }

private:
    void report(const EntityId &id, const std::string &field, const std::string &message)
    {
        const auto place = m_places.find(id);
        if (place == m_places.end()) {
            m_findings.push_back({ m_file, 0, id.text() + "." + field, message });
            return;
        }
        const auto line = place->second.fieldLines.find(field);
        const int number = line == place->second.fieldLines.end() ? place->second.line : line->second;
        m_findings.push_back({ m_file, number, place->second.path + "." + field, message });
    }

    void checkLimits(const EntityId &id, const ServiceLimits &limits)
    {
        if (limits.minimumLimit > limits.maximumLimit) {
            report(id, "minimum_limit", fmt::format("is above the maximum limit of {}", limits.maximumLimit));
        }
        if (limits.initialLimit < limits.minimumLimit || limits.initialLimit > limits.maximumLimit) {
            report(id, "initial_limit", fmt::format("is outside the bounds of {} and {}", limits.minimumLimit, limits.maximumLimit));
        }
    }

    void checkDefaults()
    {
        const EntityId id{ EntityKind::Defaults, DefaultsName };
        checkLimits(id, m_fleet.defaults.limits);
        if (m_fleet.defaults.deadline > m_fleet.defaults.maximumDeadline) {
            report(id, "deadline", "is above the maximum deadline");
        }
    }

    void checkService(const ServiceEntity &service)
    {
        ServiceLimits limits = m_fleet.defaults.limits;
        limits.minimumLimit = service.minimumLimit.value_or(limits.minimumLimit);
        limits.initialLimit = service.initialLimit.value_or(limits.initialLimit);
        limits.maximumLimit = service.maximumLimit.value_or(limits.maximumLimit);
        checkLimits(entityId(service), limits);
    }

    void checkRoute(const RouteEntity &route)
    {
        const EntityId id = entityId(route);
        if (!m_fleet.services.contains(route.service)) {
            report(id, "service", fmt::format("names the unknown service '{}'", route.service.text()));
        }
        checkPathPrefix(id, route.pathPrefix);
        if (route.methods.empty()) {
            report(id, "methods", "must list at least one method");
        }
        for (const auto &it : route.methods) {
            if (it.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZ") != std::string::npos || it.size() > 16) {
                report(id, "methods", fmt::format("'{}' is no HTTP method in capital letters", it));
            }
        }
        if (route.deadline && *route.deadline > m_fleet.defaults.maximumDeadline) {
            report(id, "deadline", "is above the maximum deadline of the defaults");
        }
    }

    void checkPathPrefix(const EntityId &id, const std::string &prefix)
    {
        constexpr std::string_view Allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-~/";
        if (!prefix.starts_with('/') || prefix.find_first_not_of(Allowed) != std::string::npos) {
            report(id, "path_prefix", "must start with '/' and consist of letters, digits and ._-~/");
        } else if (prefix.size() > 1 && prefix.ends_with('/')) {
            report(id, "path_prefix", "must not end with '/'; it matches whole path segments");
        } else if ((prefix + "/").find("/./") != std::string::npos || (prefix + "/").find("/../") != std::string::npos
                   || prefix.find("//") != std::string::npos) {
            report(id, "path_prefix", "must not contain empty, '.' or '..' segments");
        }
    }

    void checkDuplicateRoutes()
    {
        std::map<std::pair<std::string, std::string>, std::string> seen;
        for (const auto &[name, route] : m_fleet.routes) {
            for (const auto &it : route.methods) {
                const auto [other, added] = seen.emplace(std::pair(route.pathPrefix, it), name.text());
                if (!added) {
                    report(entityId(route),
                           "path_prefix",
                           fmt::format("{} {} is already taken by route '{}'", it, route.pathPrefix, other->second));
                }
            }
        }
    }

    template <typename Map, typename T>
    void checkReference(const EntityId &id, const std::string &field, const Map &map, const std::optional<T> &name)
    {
        if (name && !map.contains(*name)) {
            report(id, field, fmt::format("names the unknown {} '{}'", field, name->text()));
        }
    }

    void checkException(const ExceptionEntity &exception)
    {
        const EntityId id = entityId(exception);
        checkReference(id, "account", m_fleet.accounts, exception.account);
        checkReference(id, "route", m_fleet.routes, exception.route);
        checkReference(id, "service", m_fleet.services, exception.service);
        checkReference(id, "data_centre", m_fleet.dataCentres, exception.dataCentre);
        if (exception.deadline && *exception.deadline > m_fleet.defaults.maximumDeadline) {
            report(id, "deadline", "is above the maximum deadline of the defaults");
        }
        checkExceptionScope(id, exception);
    }

    void checkExceptionScope(const EntityId &id, const ExceptionEntity &exception)
    {
        const bool onAccount = exception.account && !exception.route && !exception.service && !exception.dataCentre;
        const bool onRequests = (exception.account || exception.route) && !exception.service && !exception.dataCentre;
        const bool onService = exception.service && !exception.account && !exception.route && !exception.dataCentre;
        const bool onDataCentres = !exception.account && !exception.route && !exception.service;
        std::size_t effects = 0;
        const auto check = [&](const char *field, bool present, bool allowed, const char *scope) {
            effects += present ? 1 : 0;
            if (present && !allowed) {
                report(id, field, fmt::format("needs the scope {}", scope));
            }
        };
        check("rate", exception.rate.has_value(), onAccount, "account");
        check("burst", exception.burst.has_value(), onAccount, "account");
        check("deadline", exception.deadline.has_value(), onRequests, "account, route or both");
        check("retries", exception.retries.has_value(), onRequests, "account, route or both");
        check("maximum_limit", exception.maximumLimit.has_value(), onService, "service");
        check("queue_length", exception.queueLength.has_value(), onService, "service");
        check("serve_when_cut_off", exception.serveWhenCutOff.has_value(), onDataCentres, "data_centre, or none for all data centres");
        if (effects == 0) {
            report(id, "name", "the exception changes nothing");
        }
    }

    /** Two exceptions for the same field and scope would make the result depend on their names. */
    void checkDuplicateExceptions()
    {
        std::map<std::string, std::string> seen;
        for (const auto &it : m_fleet.exceptions) {
            const ExceptionEntity &exception = it.second;
            const std::string scope = fmt::format("{}|{}|{}|{}",
                                                  exception.account.value_or(AccountName()).text(),
                                                  exception.route.value_or(RouteName()).text(),
                                                  exception.service.value_or(ServiceName()).text(),
                                                  exception.dataCentre.value_or(DataCentreName()).text());
            const auto check = [&](const char *field, bool present) {
                if (!present) {
                    return;
                }
                const auto [other, added] = seen.emplace(scope + "|" + field, exception.name.text());
                if (!added) {
                    report(entityId(exception), field, fmt::format("is already changed for this scope by exception '{}'", other->second));
                }
            };
            check("rate", exception.rate.has_value());
            check("burst", exception.burst.has_value());
            check("deadline", exception.deadline.has_value());
            check("retries", exception.retries.has_value());
            check("maximum_limit", exception.maximumLimit.has_value());
            check("queue_length", exception.queueLength.has_value());
            check("serve_when_cut_off", exception.serveWhenCutOff.has_value());
        }
    }

    void checkKey(const KeyEntity &key)
    {
        const EntityId id = entityId(key);
        // A withdrawn key stays after its account is gone, so that the withdrawal can't be forgotten.
        if (!key.withdrawn && !m_fleet.accounts.contains(key.account)) {
            report(id, "account", fmt::format("names the unknown account '{}'", key.account.text()));
        }
        if (key.digest.size() != DigestHexBytes || key.digest.find_first_not_of("0123456789abcdef") != std::string::npos) {
            report(id, "digest", "must be 64 lower-case hexadecimal digits");
        } else if (!m_digests.insert(key.digest).second) {
            report(id, "digest", "is already used by another key");
        }
        if (key.withdrawn.has_value() != key.withdrawalReason.has_value()) {
            report(id, "withdrawal_reason", "a withdrawal needs both a time and a reason");
        }
    }

    const FleetConfiguration &m_fleet;
    const std::string &m_file;
    const EntityPlaces &m_places;
    Findings m_findings;
    std::set<std::string> m_digests;
};

} // namespace

Findings checkFleet(const FleetConfiguration &fleet, const std::string &file, const EntityPlaces &places)
{
    return FleetChecker(fleet, file, places).run();
}

} // namespace Pimentohollow
