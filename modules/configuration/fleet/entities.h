#pragma once

#include "core/clock.h"
#include "core/enumtable.h"
#include "core/names.h"

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace Pimentohollow
{

/** An exception of the fleet document; its reason is kept in the audit log under this name. */
using ExceptionName = Name<struct ExceptionNameTag>;

/** Which measure admission favours when the two conflict. */
enum class PolicyProfile : std::uint8_t {
    Balanced,
    Goodput, ///< goodput and recovery time first
    Fairness, ///< the worst-served account and refusals within the rate first
};

inline constexpr auto PolicyProfileNames = makeEnumTable<PolicyProfile>({
    { PolicyProfile::Balanced, "balanced" },
    { PolicyProfile::Goodput, "goodput" },
    { PolicyProfile::Fairness, "fairness" },
});

/** Bounds of the concurrency limit and of the queue at a serving node. */
struct ServiceLimits {
    std::uint32_t minimumLimit = 1;
    /** The limit of an upstream that has just started. */
    std::uint32_t initialLimit = 8;
    std::uint32_t maximumLimit = 1000;
    /** Most requests that wait. */
    std::uint32_t queueLength = 100;

    bool operator==(const ServiceLimits &) const = default;
};

/** A service; what it doesn't set is taken from the defaults. */
struct ServiceEntity {
    ServiceName name;
    std::optional<std::uint32_t> minimumLimit;
    std::optional<std::uint32_t> initialLimit;
    std::optional<std::uint32_t> maximumLimit;
    std::optional<std::uint32_t> queueLength;

    bool operator==(const ServiceEntity &) const = default;
};

/** Requests of some methods below a path prefix, which go to one service. */
struct RouteEntity {
    RouteName name;
    ServiceName service;
    /** Starts with '/'; matches whole path segments. */
    std::string pathPrefix;
    std::vector<std::string> methods;
    bool idempotent = false;
    /** Shed last. */
    bool important = false;
    /** Needs no key. */
    bool openToAll = false;
    std::optional<Duration> deadline;
    std::optional<std::uint32_t> retries;

    bool operator==(const RouteEntity &) const = default;
};

/** A client account with its rate, counted across the whole fleet. */
struct AccountEntity {
    AccountName name;
    /** Requests per second. */
    double rate = 0;
    /** Requests that may come at once. */
    double burst = 0;

    bool operator==(const AccountEntity &) const = default;
};

struct DataCentreEntity {
    DataCentreName name;
    /** Free text that groups data centres in reports. */
    std::optional<std::string> region;

    bool operator==(const DataCentreEntity &) const = default;
};

/** Fleet-wide defaults; there is exactly one. */
struct DefaultsEntity {
    PolicyProfile policyProfile = PolicyProfile::Balanced;
    /** Deadline of a request that brings none. */
    Duration deadline = std::chrono::seconds(2);
    /** Longest deadline that a caller may ask for. */
    Duration maximumDeadline = std::chrono::seconds(30);
    /** Retries of one request, for its whole call chain. */
    std::uint32_t retries = 2;
    /** Retries per first attempt that a node allows itself. */
    double retryRatio = 0.1;
    /** Shortest Retry-After of a refusal; longer under more overload. */
    Duration retryAfter = std::chrono::seconds(1);
    ServiceLimits limits;

    bool operator==(const DefaultsEntity &) const = default;
};

/** Differs from the defaults for a stated reason. What it changes depends on its scope. */
struct ExceptionEntity {
    ExceptionName name;
    /** Mandatory; written for the yearly audit. */
    std::string reason;
    /** Without effect from then on. */
    std::optional<WallTime> expires;

    std::optional<AccountName> account;
    std::optional<RouteName> route;
    std::optional<ServiceName> service;
    std::optional<DataCentreName> dataCentre;

    /** Scope: account. */
    std::optional<double> rate;
    std::optional<double> burst;
    /** Scope: account, route, or both. */
    std::optional<Duration> deadline;
    std::optional<std::uint32_t> retries;
    /** Scope: service. */
    std::optional<std::uint32_t> maximumLimit;
    std::optional<std::uint32_t> queueLength;
    /** Scope: data centre, or none for all. How long a data centre that is cut off from everything goes on serving. */
    std::optional<Duration> serveWhenCutOff;

    bool operator==(const ExceptionEntity &) const = default;
};

/** A client key, known only by its keyed hash. A withdrawal is permanent. */
struct KeyEntity {
    KeyId id;
    AccountName account;
    /** HMAC-SHA256 of the key under the pepper, in lower-case hex. */
    std::string digest;
    std::optional<WallTime> withdrawn;
    std::optional<std::string> withdrawalReason;

    bool operator==(const KeyEntity &) const = default;
};

enum class DrainMode : std::uint8_t {
    Drain, ///< takes no new work
    Removed, ///< the VM is gone; its quota shares may be taken
};

inline constexpr auto DrainModeNames = makeEnumTable<DrainMode>({
    { DrainMode::Drain, "drain" },
    { DrainMode::Removed, "removed" },
});

/** An operator's statement about one node. */
struct DrainEntity {
    NodeName node;
    DrainMode mode = DrainMode::Drain;
    std::string reason;
    /** Applies to incarnations up to this one, so that a replacement with the same name isn't affected; absent means all. */
    std::optional<std::uint64_t> incarnation;

    bool operator==(const DrainEntity &) const = default;
};

enum class EntityKind : std::uint8_t {
    Service,
    Route,
    Account,
    DataCentre,
    Defaults,
    Exception,
    Key,
    Drain,
};

inline constexpr auto EntityKindNames = makeEnumTable<EntityKind>({
    { EntityKind::Service, "service" },
    { EntityKind::Route, "route" },
    { EntityKind::Account, "account" },
    { EntityKind::DataCentre, "data_centre" },
    { EntityKind::Defaults, "defaults" },
    { EntityKind::Exception, "exception" },
    { EntityKind::Key, "key" },
    { EntityKind::Drain, "drain" },
});

/** In the order of EntityKind. */
using Entity =
    std::variant<ServiceEntity, RouteEntity, AccountEntity, DataCentreEntity, DefaultsEntity, ExceptionEntity, KeyEntity, DrainEntity>;

/** Identifies an entity within the fleet document. */
struct EntityId {
    EntityKind kind = EntityKind::Service;
    std::string name;

    /** "route/orders". */
    std::string text() const;

    bool operator==(const EntityId &) const = default;

    bool operator<(const EntityId &other) const
    {
        return std::tie(kind, name) < std::tie(other.kind, other.name);
    }
};

/** The name under which the single DefaultsEntity is kept. */
inline constexpr const char *DefaultsName = "fleet";

EntityId entityId(const Entity &entity);

} // namespace Pimentohollow
