#pragma once

#include "core/error.h"
#include "core/ipendpoint.h"
#include "core/names.h"
#include "mesh/model/trafficrules.h"

#include <cereal/types/string.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Pimentohollow
{

/** What a node writes into the store, so that others find it. Written when it changes, not as a heartbeat. */
struct DirectoryEntry {
    NodeName node;
    DataCentreName dataCentre;
    ServiceName service;
    IpEndpoint peerAddress;
    /** Differs with each process of the node. */
    std::uint64_t incarnation = 0;
    /** The upstream beside the node that announced its end and may not get work again, also after a restart of the node; may be empty. */
    std::string departedUpstream;

    bool operator==(const DirectoryEntry &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(node, dataCentre, service, peerAddress, incarnation, departedUpstream);
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

struct DirectoryState {
    std::vector<DirectoryEntry> entries;
    /** Position for watching from here. */
    std::uint64_t position = 0;
};

struct DirectoryChanges {
    std::vector<DirectoryChange> changes;
    std::uint64_t position = 0;
};

struct RulesState {
    /** Nothing if the store has no valid rules. */
    std::optional<TrafficRules> rules;
    std::uint64_t position = 0;
};

/** How long a watch call waits for a change. */
enum class WatchWait : std::uint8_t {
    Long, ///< some seconds
    None, ///< answers at once, as the first call after a failed one: whether the store is back must not wait for a change
};

/**
 * The part of the platform's store that nodes use. Calls suspend the current fiber.
 *
 * Errors: Unavailable, Timeout and OutcomeUnknown as elsewhere; NotFound from watch calls if the store has dropped the history after the
 * position: read everything again.
 */
class FleetStore
{
public:
    virtual ~FleetStore() = default;

    virtual Result<RulesState> readRules() = 0;
    /** Waits for rules newer than @p position; an empty state after a while without any. */
    virtual Result<RulesState> watchRules(std::uint64_t position, WatchWait wait) = 0;
    virtual Result<DirectoryState> readDirectory() = 0;
    virtual Result<DirectoryChanges> watchDirectory(std::uint64_t position, WatchWait wait) = 0;
    /** Replaces the entry of the same peer address. */
    virtual Result<void> publish(const DirectoryEntry &entry) = 0;
    /** Removes the entry if it is still that of @p entry's incarnation. Errors: Conflict if it isn't. */
    virtual Result<void> withdraw(const DirectoryEntry &entry) = 0;
};

} // namespace Pimentohollow
