#pragma once

#include "mesh/links/meshlink.h"
#include "mesh/model/fleetstore.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Pimentohollow
{

/**
 * The known nodes of the fleet and the links to them. Writes this node's entry to the directory at the start and reads the directory
 * afterwards, so that of two nodes that start together at least one sees the other and connects to it. After that, a few nodes of each data
 * centre watch the directory and forward changes to the others there: if all nodes watched it, each node start would cost a store call by
 * every other node. Also adds nodes that connect to this one, so that the fleet can form while the store is unavailable.
 */
class PeerDirectory
{
public:
    struct Environment {
        EventLoop &loop;
        FleetStore &store;
        BufferBudget &bufferBudget;
        /** Returns this node's entry as it should be in the store. */
        std::function<DirectoryEntry()> ownEntry;
        MeshLink::Handlers linkHandlers;
        /** Returns true if this node currently watches the store for its data centre. */
        std::function<bool()> watchesStore;
        /** Called with changes from the store, to forward them to other nodes. */
        std::function<void(const std::vector<DirectoryChange> &)> forwardChanges;
        /** Called when a node was added or removed. */
        std::function<void()> onPeersChanged;
        /** Called with the departures in the store's entry of this node when it is read, or with none if there is no such entry. */
        std::function<void(const UpstreamDepartures &)> departuresRead;
        /** Called if there was no such entry when it was read for the first time. */
        std::function<void()> noEarlierEntry;
        /** Called with the departures that the store is known to have in this node's entry; with none when the entry may be lost. */
        std::function<void(const UpstreamDepartures &)> departuresWritten;
    };

    explicit PeerDirectory(Environment environment);

    /** Reads the directory, publishes this node's entry and watches for changes until leave() or stop(). */
    void start();
    /** Writes this node's entry to the store, with retries until it succeeds. */
    void publish();
    /**
     * Reads the directory again if this node watches it, and restores the state of its own entry: written, or withdrawn. Must be called
     * when the store has come back from a copy.
     */
    void handleNewEra();
    /** Stops watching the directory, and restoring this node's entry unless it is withdrawn. A withdrawn entry is written. */
    void leave();
    /** Stops watching the directory and closes all links. */
    void stop();

    /** Applies a change that this node, or another one, read from the store. */
    void apply(const DirectoryChange &change);
    /** Adds or updates a node. @param fromStore false if the entry comes from the node itself, in its hello frame */
    void add(const DirectoryEntry &entry, bool fromStore);

    /** Closes silent links and removes nodes that have been unreachable for a long time. Must be called periodically. */
    void tick(TimePoint now);

    /** Links to the other nodes, by the text of their peer address. */
    const std::map<std::string, std::shared_ptr<MeshLink>> &links() const
    {
        return m_links;
    }

    /** Number of known nodes, including this one. */
    std::size_t nodeCount() const
    {
        return m_links.size() + 1;
    }

    /** Number of reachable nodes, excluding this one. @param maximumSilence longest accepted time without a received byte */
    std::size_t reachableCount(Duration maximumSilence) const;

    /** True if the directory was read completely and the store still has the changes since. */
    bool isRead() const
    {
        return m_directoryRead;
    }

private:
    void startWatch();
    /** @param watch number of the watch, which ends when another one is started */
    void watch(unsigned watch);
    /** Reads or watches the directory once. Errors: those of the store call. */
    Result<void> readOrWatchOnce(StorePosition &position, unsigned watch);
    void write();
    /** Reads this node's entry if this process hasn't yet, so that a write keeps its departures. Errors: those of the store call. */
    Result<void> readOwnEntry();
    /** Applies the entry that the store has of this node, which may have been written by an earlier process. */
    void applyEarlierEntry(const std::optional<DirectoryEntry> &entry);
    /** Waits until this node's entry is written, at most until @p deadline. */
    void awaitWritten(TimePoint deadline);
    /** Writes this node's entry again unless the store has it. */
    void restoreEntry();
    void applyAll(const std::vector<DirectoryEntry> &entries);
    void applyOwn(const DirectoryEntry &entry);
    void remove(const std::string &key);
    /** Keeps the departures in an entry from the store for its node, which may be restarted while the store turns it away. */
    void keepDepartures(const DirectoryEntry &entry);
    /** Handles the withdrawn entry of another node. */
    void retire(const DirectoryEntry &entry);
    void removeMissing(TimePoint now);
    void removeDead(TimePoint now);
    void removeWithdrawn(TimePoint now);
    void withdraw(const DirectoryEntry &entry, std::string_view event);

    Environment m_environment;
    std::map<std::string, std::shared_ptr<MeshLink>> m_links;
    /** Keys of known nodes that have no entry in the store, and the time from which they are removed unless they are connected. */
    std::map<std::string, TimePoint> m_missingKeys;
    /** Withdrawn entries, by key, and the time from which they are removed from the store. */
    std::map<std::string, std::pair<DirectoryEntry, TimePoint>> m_withdrawnEntries;
    bool m_directoryRead = false;
    /** Number of the watch in progress. Earlier ones end with their calls, which may wait long. */
    unsigned m_currentWatch = 0;
    /** True if the last directory call to the store failed. */
    bool m_lastCallFailed = false;
    bool m_left = false;
    bool m_stopped = false;
    /** True while this node's entry is being written. */
    bool m_writing = false;
    /** True if this node's entry has to be written, or written again because it changed during a write. */
    bool m_writePending = false;
    bool m_published = false;
    /** True once this process has read the entry that the store has, or had, of this node. */
    bool m_earlierEntryRead = false;
    /** True once the store has returned the entry of this process. */
    bool m_ownEntrySeen = false;
};

} // namespace Pimentohollow
