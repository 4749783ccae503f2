#include "mesh/node/peerdirectory.h"

#include "core/logger.h"
#include "mesh/node/storebackoff.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Pimentohollow
{

namespace
{

/** Changes of the directory are collected for this long, so that a fleet that starts doesn't wake every node for every other one. */
constexpr std::chrono::milliseconds DirectoryPause(300);
/** Wait for the own entry to be written before the directory is watched; a store that takes no writes may still be read. */
constexpr std::chrono::milliseconds FirstWriteTime(500);
/** How often a node that doesn't watch the directory looks whether it should. */
constexpr std::chrono::milliseconds DutyCheckInterval(200);
/** Entries of nodes that could not be reached for this long are removed from the store. */
constexpr std::chrono::seconds DeadPeerTime(60);
constexpr std::chrono::milliseconds WrittenCheckInterval(5);
const Logger Log("mesh");

std::string keyOf(const DirectoryEntry &entry)
{
    return entry.peerAddress.text();
}

} // namespace

PeerDirectory::PeerDirectory(Environment environment)
    : m_environment(std::move(environment))
{
}

void PeerDirectory::start()
{
    m_environment.loop.spawn([this] {
        follow();
    });
}

void PeerDirectory::leave(bool withdraws)
{
    m_left = true;
    if (withdraws) {
        m_writeAgain = false;
        withdraw(m_environment.ownEntry(), "withdrawn");
    }
}

void PeerDirectory::stop()
{
    m_left = true;
    for (const auto &[key, link] : m_links) {
        link->stop();
    }
}

std::size_t PeerDirectory::reachable(Duration silence) const
{
    const TimePoint now = m_environment.loop.now();
    return static_cast<std::size_t>(std::count_if(m_links.begin(), m_links.end(), [silence, now](const auto &it) {
        return it.second->isReachable(now, silence);
    }));
}

void PeerDirectory::follow()
{
    auto &loop = m_environment.loop;
    Backoff backoff = storeBackoff();
    std::uint64_t position = 0;
    while (!m_left) {
        // What the store shows together with the own entry, or before it, is all that other nodes can't know of this one.
        if (m_published && m_read && m_ownSeen && !m_environment.watches()) {
            loop.sleepFor(DutyCheckInterval);
            continue;
        }
        const auto followed = followOnce(position);
        m_failed = !followed;
        if (followed) {
            backoff.reset();
            continue;
        }
        Log.warning("directory_unavailable", { { "error", followed.error().describe() } });
        m_environment.loop.sleepFor(backoff.next());
    }
}

Result<void> PeerDirectory::followOnce(std::uint64_t &position)
{
    if (!m_read) {
        const auto state = m_environment.store.readDirectory();
        if (!state) {
            return tl::unexpected(state.error());
        }
        position = state->position;
        applyAll(state->entries);
        m_read = true;
        (void)awaitWritten(m_environment.loop.now() + FirstWriteTime);
        return {};
    }
    const auto changes = m_environment.store.watchDirectory(position, m_failed ? WatchWait::None : WatchWait::Long);
    if (!changes) {
        m_read = changes.error().kind != ErrorKind::NotFound;
        return tl::unexpected(changes.error());
    }
    position = changes->position;
    for (const auto &it : changes->changes) {
        apply(it);
    }
    if (!changes->changes.empty()) {
        m_environment.pass(changes->changes);
    }
    m_environment.loop.sleepFor(DirectoryPause);
    return {};
}

void PeerDirectory::publish()
{
    m_writeAgain = true;
    if (std::exchange(m_writing, true)) {
        return;
    }
    m_environment.loop.spawn([this] {
        write();
    });
}

bool PeerDirectory::awaitWritten(TimePoint deadline)
{
    while (m_writing && m_environment.loop.clock().now() < deadline) {
        m_environment.loop.sleepFor(WrittenCheckInterval);
    }
    return !m_writing;
}

void PeerDirectory::write()
{
    Backoff backoff = storeBackoff();
    while (m_writeAgain) {
        m_writeAgain = false;
        const auto entry = m_environment.ownEntry();
        if (const auto published = m_environment.store.publish(entry); !published) {
            Log.warning("publish_failed", { { "error", published.error().describe() } });
            m_writeAgain = true;
            m_environment.loop.sleepFor(backoff.next());
        }
    }
    m_writing = false;
    m_published = true;
}

void PeerDirectory::applyAll(const std::vector<DirectoryEntry> &entries)
{
    const std::string ownKey = keyOf(m_environment.ownEntry());
    std::set<std::string> keys;
    for (const auto &it : entries) {
        keys.insert(keyOf(it));
        apply(it);
    }
    std::vector<std::string> removed;
    for (const auto &[key, link] : m_links) {
        if (!keys.contains(key)) {
            removed.push_back(key);
        }
    }
    for (const auto &it : removed) {
        remove(it);
    }
    if (!m_left && (!m_published || !keys.contains(ownKey))) {
        publish();
    }
}

void PeerDirectory::apply(const DirectoryChange &change)
{
    const std::string ownKey = keyOf(m_environment.ownEntry());
    if (const auto *entry = std::get_if<DirectoryEntry>(&change)) {
        if (keyOf(*entry) == ownKey) {
            applyOwn(*entry);
        } else {
            add(*entry, true);
        }
        return;
    }
    const auto &key = std::get<DirectoryRemoval>(change).key;
    if (key != ownKey) {
        remove(key);
    } else if (m_published && !m_left) {
        publish();
    }
}

void PeerDirectory::applyPassed(const DirectoryChange &change)
{
    const auto *removal = std::get_if<DirectoryRemoval>(&change);
    const auto found = removal == nullptr ? m_links.end() : m_links.find(removal->key);
    if (found != m_links.end() && !found->second->disconnectedSince()) {
        // Passed changes may be late: the node may have come back since. A live connection decides.
        m_ending.insert(removal->key);
        return;
    }
    apply(change);
}

void PeerDirectory::applyOwn(const DirectoryEntry &entry)
{
    const auto own = m_environment.ownEntry();
    m_ownSeen = m_ownSeen || entry == own;
    if (!m_published) {
        if (entry.node == own.node && !entry.departedUpstream.empty()) {
            m_environment.departedBefore(entry.departedUpstream);
        }
        return;
    }
    if (m_left || m_writing || entry == own) {
        return;
    }
    // The store may carry out an earlier write after a later one; nobody else writes under this address.
    Log.warning("own_entry_outdated",
                { { "stored_incarnation", std::to_string(entry.incarnation) },
                  { "incarnation", std::to_string(own.incarnation) },
                  { "stored_departed", entry.departedUpstream },
                  { "departed", own.departedUpstream } });
    publish();
}

void PeerDirectory::add(const DirectoryEntry &entry, bool fromStore)
{
    const std::string key = keyOf(entry);
    if (key == keyOf(m_environment.ownEntry())) {
        return;
    }
    m_ending.erase(key);
    const auto found = m_links.find(key);
    if (found != m_links.end()) {
        if (!(found->second->entry() == entry) && (fromStore || entry.incarnation > found->second->entry().incarnation)) {
            found->second->setEntry(entry);
        }
        return;
    }
    Log.info("peer_added",
             { { "peer", entry.node.text() },
               { "service", entry.service.text() },
               { "data_centre", entry.dataCentre.text() },
               { "source", fromStore ? "store" : "peer" } });
    auto link = std::make_shared<MeshLink>(
        m_environment.loop, m_environment.held, entry, m_environment.ownEntry().dataCentre, m_environment.linkHandlers);
    m_links.emplace(key, link);
    link->start();
    m_environment.changed();
}

void PeerDirectory::remove(const std::string &key)
{
    const auto found = m_links.find(key);
    if (found == m_links.end()) {
        return;
    }
    Log.info("peer_removed", { { "peer", found->second->entry().node.text() } });
    const auto link = found->second;
    m_links.erase(found);
    link->stop();
    m_environment.changed();
}

void PeerDirectory::tick(TimePoint now)
{
    // A copy, because a lost link may change the map.
    for (const auto &[key, link] : std::map(m_links)) {
        link->checkLiveness(now);
    }
    removeEnded();
    removeDead(now);
}

void PeerDirectory::removeEnded()
{
    for (const auto &key : std::set(m_ending)) {
        const auto found = m_links.find(key);
        if (found == m_links.end() || found->second->disconnectedSince()) {
            m_ending.erase(key);
            remove(key);
        }
    }
}

void PeerDirectory::removeDead(TimePoint now)
{
    for (const auto &[key, link] : m_links) {
        const auto down = link->disconnectedSince();
        if (!down || now - *down < DeadPeerTime) {
            continue;
        }
        withdraw(link->entry(), "dead_peer_withdrawn");
        remove(std::string(key));
        return;
    }
}

void PeerDirectory::withdraw(const DirectoryEntry &entry, std::string_view event)
{
    m_environment.loop.spawn([this, entry, event = std::string(event)] {
        const auto withdrawn = m_environment.store.withdraw(entry);
        Log.info(event, { { "node", entry.node.text() }, { "result", withdrawn ? "ok" : withdrawn.error().describe() } });
    });
}

} // namespace Pimentohollow
