#pragma once

#include "configuration/fleet/fleetconfiguration.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Pimentohollow
{

/** Deadline and retries of a request, after exceptions. */
struct RequestPolicy {
    Duration deadline{};
    /** Upper bound of a deadline that the caller asks for. */
    Duration maximumDeadline{};
    std::uint32_t retries = 0;

    bool operator==(const RequestPolicy &) const = default;
};

/** Rate and burst of an account, after exceptions. */
struct AccountLimits {
    double rate = 0;
    double burst = 0;

    bool operator==(const AccountLimits &) const = default;
};

/**
 * One version of the fleet configuration with the lookups that a node needs per request.
 *
 * Immutable, so that threads share it through a std::shared_ptr<const FleetView> without locks. Lookups that depend on
 * exceptions take the time of day, because exceptions may expire.
 */
class FleetView
{
public:
    FleetView(std::uint64_t version, FleetConfiguration fleet);

    // The index points into the document.
    FleetView(const FleetView &) = delete;
    FleetView &operator=(const FleetView &) = delete;

    std::uint64_t version() const;
    const FleetConfiguration &fleet() const;

    /**
     * The route with the longest prefix that covers @p path and lists @p method; null if there is none.
     * @param path without query, with '.' and '..' segments refused beforehand
     */
    const RouteEntity *route(std::string_view method, std::string_view path) const;

    /** Nothing for an unknown account. */
    std::optional<AccountLimits> accountLimits(const AccountName &account, WallTime now) const;

    /** Precedence: exception for account and route, for account, for route, the route's own value, the defaults. */
    RequestPolicy requestPolicy(const RouteEntity &route, const AccountName &account, WallTime now) const;

    ServiceLimits serviceLimits(const ServiceName &service, WallTime now) const;

    /** How long @p dataCentre serves while it is cut off from everything; nothing means without limit. */
    std::optional<Duration> serveWhenCutOff(const DataCentreName &dataCentre, WallTime now) const;

    /** The operator's statement about this incarnation of a node, or null. */
    const DrainEntity *drain(const NodeName &node, std::uint64_t incarnation) const;

private:
    struct TextHash {
        using is_transparent = void;

        std::size_t operator()(std::string_view text) const
        {
            return std::hash<std::string_view>()(text);
        }
    };
    using RouteIndex = std::unordered_map<std::string, std::vector<const RouteEntity *>, TextHash, std::equal_to<>>;

    void buildIndex();
    const RouteEntity *routeAt(std::string_view prefix, std::string_view method) const;

    const std::uint64_t m_version;
    const FleetConfiguration m_fleet;
    RouteIndex m_routes;
    std::size_t m_longestPrefix = 0;
    /** Exceptions by scope, so that a lookup costs a few searches and not a pass over all exceptions. */
    std::unordered_map<AccountName, std::vector<const ExceptionEntity *>> m_accountExceptions;
    std::unordered_map<RouteName, std::vector<const ExceptionEntity *>> m_routeExceptions;
    std::unordered_map<ServiceName, std::vector<const ExceptionEntity *>> m_serviceExceptions;
    std::vector<const ExceptionEntity *> m_dataCentreExceptions;
};

} // namespace Pimentohollow
