#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "core/ipendpoint.h"
#include "core/names.h"
#include "mesh/model/trafficrules.h"
#include "mesh/model/upstreamdepartures.h"

#include <cereal/types/string.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Pimentohollow
{

/** Entry of a node in the directory, through which other nodes find it. Written when it changes, not as a heartbeat. */
struct DirectoryEntry {
    NodeName node;
    DataCentreName dataCentre;
    ServiceName service;
    IpEndpoint peerAddress;
    /** Differs for each process of the node. */
    std::uint64_t incarnation = 0;
    /** Processes of the upstream beside the node that must not receive requests again, even after a restart of the node. */
    UpstreamDepartures departures;
    /**
     * True if the node has ended because its upstream has left. The entry then only keeps the departures for the next process of the node;
     * other nodes don't connect to it.
     */
    bool withdrawn = false;

    bool operator==(const DirectoryEntry &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(node, dataCentre, service, peerAddress, incarnation, departures, withdrawn);
    }
};

struct DirectoryRemoval {
    /** The key of the entry: the text of its peer address. */
    std::string key;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(key);
    }
};

using DirectoryChange = std::variant<DirectoryEntry, DirectoryRemoval>;

/** Number of a history of the store, which rises each time that the store comes back from a copy; 0 if the store doesn't name it. */
using StoreEra = std::uint64_t;

/** Point in a history of the store from which changes can be watched. A later era gives out the same revisions again. */
struct StorePosition {
    StoreEra era = 0;
    std::uint64_t revision = 0;

    bool operator==(const StorePosition &) const = default;
};

struct DirectoryState {
    std::vector<DirectoryEntry> entries;
    /** Position from which to watch for changes. */
    StorePosition position;
};

struct EntryState {
    /** Nothing if the store has no valid entry at the address. */
    std::optional<DirectoryEntry> entry;
    StorePosition position;
};

struct DirectoryChanges {
    std::vector<DirectoryChange> changes;
    StorePosition position;
};

struct RulesState {
    /** Nothing if the store has no valid rules. */
    std::optional<TrafficRules> rules;
    StorePosition position;
};

/** Time limits of a watch call. */
struct WatchLimits {
    /** Longest wait for a change; with zero the call returns at once. */
    Duration wait{};
    /** Time for the answer beyond the wait, after which the call fails with Timeout. */
    Duration answerTime{};
};

/**
 * Access to the platform's store as far as nodes use it. Calls suspend the current fiber.
 *
 * Errors: Unavailable, Timeout and OutcomeUnknown if a call fails; NotFound from watch calls if the store no longer has the history after
 * the position, in which case the caller has to read everything again.
 */
class FleetStore
{
public:
    virtual ~FleetStore() = default;

    virtual Result<RulesState> readRules() = 0;
    /** Waits for rules newer than @p position; returns an empty state if there are none. */
    virtual Result<RulesState> watchRules(const StorePosition &position, const WatchLimits &limits) = 0;
    virtual Result<DirectoryState> readDirectory() = 0;
    virtual Result<EntryState> readEntry(const IpEndpoint &peerAddress) = 0;
    virtual Result<DirectoryChanges> watchDirectory(const StorePosition &position, const WatchLimits &limits) = 0;
    /** Writes @p entry, replacing the entry of the same peer address. Returns the era in which it was written. */
    virtual Result<StoreEra> publish(const DirectoryEntry &entry) = 0;
    /**
     * Adds departures to the entry of a node that can't write it. Returns the era in which the entry has them.
     * Errors: Conflict if there is no entry, or if it has changed meanwhile.
     */
    virtual Result<StoreEra> addDepartures(const IpEndpoint &peerAddress, const UpstreamDepartures &departures) = 0;
    /**
     * Removes the entry of @p entry's peer address if it still has the same incarnation. Returns the era in which it was removed.
     * Errors: Conflict if it hasn't that incarnation.
     */
    virtual Result<StoreEra> withdraw(const DirectoryEntry &entry) = 0;
};

} // namespace Pimentohollow
