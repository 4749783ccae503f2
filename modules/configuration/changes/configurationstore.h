#pragma once

#include "audit/auditchain.h"
#include "configuration/changes/fleetchange.h"
#include "core/clock.h"
#include "storage/interfaces/objectstore.h"
#include "storage/interfaces/tableservice.h"

#include <optional>

namespace Pimentohollow
{

/** The newest version in the table. */
struct StoredHead {
    /** 0 if nothing was ever applied. */
    std::uint64_t version = 0;
    std::string changeId;
    /** Hash of the audit entry of this version. */
    std::string auditHash;
};

/** Answer to ConfigurationStore::apply(). */
struct ApplyOutcome {
    /** False for a conflict: another change has taken the version, and nothing of this one was written. */
    bool applied = false;
    /** The version that this change made, or the version at which the other change won. */
    std::uint64_t version = 0;
    /** The change that won, if it could be read. */
    std::optional<FleetChange> winner;
};

/**
 * The versions of the fleet configuration on the users' platform.
 *
 * The table holds config/head and, per version, a change and an audit entry; the three are written by one transaction on
 * the condition that the head is the version before. The object store holds a snapshot every 100 versions, which only
 * shortens loading: without it, more changes are read. Thread-safe if the two services are.
 * @see ConfigurationTracker
 */
class ConfigurationStore
{
public:
    static constexpr std::uint64_t SnapshotInterval = 100;

    ConfigurationStore(TableService &table, ObjectStore &objects);

    Result<StoredHead> head();

    /** The newest configuration, from the latest snapshot and the changes after it. */
    Result<VersionedFleet> load();

    /** The changes of the versions in (@p after, @p last], without gaps, at most @p limit. */
    Result<std::vector<FleetChange>> changes(std::uint64_t after, std::uint64_t last, std::size_t limit);

    /**
     * Applies a change to the configuration that it was made from.
     * Errors: InvalidInput (the change doesn't fit or fails the checks), Unavailable (nothing was written),
     * OutcomeUnknown (the change may be in force; its id tells, once the platform answers). A lost answer is resolved by
     * reading the change back and comparing ids, so that no change is applied twice.
     */
    Result<ApplyOutcome> apply(const VersionedFleet &base, const FleetChange &change);

    /** The audit entries of the versions in (@p after, @p last]; those that are missing are left out. */
    Result<std::vector<AuditEntry>> auditEntries(std::uint64_t after, std::uint64_t last);

private:
    Result<std::optional<FleetChange>> change(std::uint64_t version);
    Result<VersionedFleet> loadSnapshot(std::uint64_t head);
    Result<ApplyOutcome> commit(const FleetChange &change, const StoredHead &head);
    Result<ApplyOutcome> conflict(const FleetChange &change);
    void writeSnapshot(const VersionedFleet &fleet);

    TableService &m_table;
    ObjectStore &m_objects;
};

} // namespace Pimentohollow
