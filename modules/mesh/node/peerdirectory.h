#pragma once

#include "mesh/links/meshlink.h"
#include "mesh/model/fleetstore.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace Pimentohollow
{

/**
 * Which nodes there are, and the links to them. Writes this node's own entry into the directory at the start and reads it afterwards: of
 * two nodes that start together, at least one sees the other one and connects to it. Later a few nodes of each data centre watch the
 * directory and pass changes on to the others there: if all nodes did, each start of a node would cost a call of every other one. Also
 * takes nodes that make themselves known by connecting, so that the fleet finds together while the store is away.
 */
class PeerDirectory
{
public:
    struct Environment {
        EventLoop &loop;
        FleetStore &store;
        BufferBudget &held;
        /** This node's entry as it should be in the store. */
        std::function<DirectoryEntry()> ownEntry;
        MeshLink::Handlers linkHandlers;
        /** This node is one of those that follow the store for others now. */
        std::function<bool()> watches;
        /** Changes have come from the store and are to be passed on. */
        std::function<void(const std::vector<DirectoryChange> &)> pass;
        /** The number of known nodes has changed. */
        std::function<void()> changed;
        /** An earlier process of this node wrote that this upstream has left. */
        std::function<void(const std::string &)> departedBefore;
    };

    explicit PeerDirectory(Environment environment);

    /** Reads the directory, publishes this node's entry, and follows the changes until leave() or stop(). */
    void start();
    /** Writes the own entry, again and again until the store has taken it. */
    void publish();
    /** Waits until the own entry is written; false if it isn't by @p deadline. */
    bool awaitWritten(TimePoint deadline);
    /** The node ends and doesn't write its entry any more. @param withdraws removes the entry as well */
    void leave(bool withdraws);
    /** Closes all links. */
    void stop();

    /** Takes a change that another node saw in the store. */
    void applyPassed(const DirectoryChange &change);
    /** @param fromStore false if the node made itself known */
    void add(const DirectoryEntry &entry, bool fromStore);

    /** Closes silent links, and removes nodes that could not be reached for long. Call it regularly. */
    void tick(TimePoint now);

    /** By the text of the peer address. */
    const std::map<std::string, std::shared_ptr<MeshLink>> &links() const
    {
        return m_links;
    }

    /** Known nodes, this one included. */
    std::size_t nodes() const
    {
        return m_links.size() + 1;
    }

    /** Nodes that answer now, without this one. @param silence longest time without a byte */
    std::size_t reachable(Duration silence) const;

    /** The directory was read since the store last dropped its history. */
    bool isRead() const
    {
        return m_read;
    }

private:
    void follow();
    /** Reads or watches once. Errors: as those of the store. */
    Result<void> followOnce(std::uint64_t &position);
    void write();
    void applyAll(const std::vector<DirectoryEntry> &entries);
    void apply(const DirectoryChange &change);
    void applyOwn(const DirectoryEntry &entry);
    void remove(const std::string &key);
    void removeEnded();
    void removeDead(TimePoint now);
    void withdraw(const DirectoryEntry &entry, std::string_view event);

    Environment m_environment;
    std::map<std::string, std::shared_ptr<MeshLink>> m_links;
    /** Removed from the store, as another node said, but still connected. */
    std::set<std::string> m_ending;
    bool m_read = false;
    /** The last call for the directory failed. */
    bool m_failed = false;
    bool m_left = false;
    /** The own entry is being written. */
    bool m_writing = false;
    /** The own entry has changed while it was being written. */
    bool m_writeAgain = false;
    bool m_published = false;
    /** The store has shown the own entry of this process. */
    bool m_ownSeen = false;
};

} // namespace Pimentohollow
