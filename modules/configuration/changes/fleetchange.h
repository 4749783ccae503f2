#pragma once

#include "configuration/fleet/fleetconfiguration.h"
#include "core/error.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Pimentohollow
{

/** A change of the fleet configuration from one version to the next. */
struct FleetChange {
    /** The version that this change makes; it applies to the version before. */
    std::uint64_t version = 0;
    /** Unique; tells one's own change from another one of the same version after a lost answer. */
    std::string changeId;
    std::string author;
    WallTime time;
    std::string reason;
    std::vector<Entity> upserts;
    std::vector<EntityId> removals;

    bool empty() const;

    /** One line for each entity, for people and for the audit log. */
    std::vector<std::string> describe() const;

    bool operator==(const FleetChange &) const = default;
};

/** A fleet configuration with its version; version 0 is the empty one. */
struct VersionedFleet {
    std::uint64_t version = 0;
    FleetConfiguration fleet;

    bool operator==(const VersionedFleet &) const = default;
};

/** What turns @p base into @p target; without version, id, author, time and reason. */
FleetChange diffFleets(const FleetConfiguration &base, const FleetConfiguration &target);

/** @p target with the keys and drains of @p base, which operators don't declare in documents. */
FleetConfiguration withManagedEntities(FleetConfiguration target, const FleetConfiguration &base);

/**
 * Applies a change and checks the result.
 * Findings: the change is for another version, the result fails checkFleet(), or a withdrawal would be undone.
 */
Parsed<VersionedFleet> applyChange(const VersionedFleet &base, const FleetChange &change);

/** Canonical text of a change, for the table and for messages between nodes. */
std::string writeChange(const FleetChange &change);

Parsed<FleetChange> parseChange(const std::string &text, const std::string &file);

} // namespace Pimentohollow
