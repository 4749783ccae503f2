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

/** Batches directory changes, so that the start of a fleet doesn't wake every node for each of the others. */
constexpr std::chrono::milliseconds ChangeBatchInterval(300);
/** Longest wait for the first write of the own entry before watching; a store that rejects writes may still be readable. */
constexpr std::chrono::milliseconds FirstWriteTimeout(500);
/** Interval at which a node that doesn't watch the directory checks whether it should. */
constexpr std::chrono::milliseconds RoleCheckInterval(200);
/** The store lets a call wait for at most 30 s. */
constexpr WatchLimits DirectoryWatch{ std::chrono::seconds(25), std::chrono::seconds(2) };
/** After a failed call, so that a recovery is noticed without waiting for a change. */
constexpr WatchLimits DirectoryProbe{ Duration::zero(), std::chrono::seconds(2) };
/** Time after a full read within which a live node that the store doesn't list has written its entry, or has connected. */
constexpr std::chrono::milliseconds EntryReturnTime(2500);
/** The store entry of a node that has been unreachable for this long is removed. */
constexpr std::chrono::seconds DeadPeerTimeout(60);
/** A withdrawn entry is removed after this long. Reports of its upstream that are still on their way arrive within seconds. */
constexpr std::chrono::seconds WithdrawnEntryRetention(60);
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
    startWatch();
}

void PeerDirectory::startWatch()
{
    m_environment.loop.spawn([this, number = ++m_currentWatch] {
        watch(number);
    });
}

void PeerDirectory::handleNewEra()
{
    m_environment.departuresWritten({});
    if (m_left) {
        if (m_environment.ownEntry().withdrawn) {
            publish();
        }
        return;
    }
    startWatch();
    m_environment.loop.spawn([this] {
        restoreEntry();
    });
}

void PeerDirectory::leave()
{
    m_left = true;
    if (m_environment.ownEntry().withdrawn) {
        publish();
    }
}

void PeerDirectory::stop()
{
    m_left = true;
    m_stopped = true;
    for (const auto &[key, link] : m_links) {
        link->stop();
    }
}

std::size_t PeerDirectory::reachableCount(Duration maximumSilence) const
{
    const TimePoint now = m_environment.loop.now();
    return static_cast<std::size_t>(std::count_if(m_links.begin(), m_links.end(), [maximumSilence, now](const auto &it) {
        return it.second->isReachable(now, maximumSilence);
    }));
}

void PeerDirectory::watch(unsigned watch)
{
    auto &loop = m_environment.loop;
    Backoff backoff = storeBackoff();
    StorePosition position;
    while (!m_left && watch == m_currentWatch) {
        // Changes up to this node's own entry must be read here: the nodes that forward changes didn't know this node yet.
        if (m_published && m_directoryRead && m_ownEntrySeen && !m_environment.watchesStore()) {
            loop.sleepFor(RoleCheckInterval);
            continue;
        }
        const auto followed = readOrWatchOnce(position, watch);
        if (watch != m_currentWatch) {
            break;
        }
        m_lastCallFailed = !followed;
        if (followed) {
            backoff.reset();
            continue;
        }
        Log.warning("directory_unavailable", { { "error", followed.error().describe() } });
        if (followed.error().kind == ErrorKind::NotFound) {
            backoff.reset(); // the store answers again
        }
        m_environment.loop.sleepFor(backoff.next());
    }
}

Result<void> PeerDirectory::readOrWatchOnce(StorePosition &position, unsigned watch)
{
    if (!m_directoryRead) {
        const auto state = m_environment.store.readDirectory();
        if (!state) {
            return tl::unexpected(state.error());
        }
        if (watch != m_currentWatch) {
            return {};
        }
        position = state->position;
        Log.info("directory_read",
                 { { "era", std::to_string(position.era) },
                   { "revision", std::to_string(position.revision) },
                   { "entries", std::to_string(state->entries.size()) },
                   { "known", std::to_string(nodeCount()) } });
        applyAll(state->entries);
        m_directoryRead = true;
        awaitWritten(m_environment.loop.now() + FirstWriteTimeout);
        return {};
    }
    const auto changes = m_environment.store.watchDirectory(position, m_lastCallFailed ? DirectoryProbe : DirectoryWatch);
    if (watch != m_currentWatch) {
        return {};
    }
    if (!changes) {
        m_directoryRead = changes.error().kind != ErrorKind::NotFound;
        return tl::unexpected(changes.error());
    }
    position = changes->position;
    for (const auto &it : changes->changes) {
        apply(it);
    }
    if (!changes->changes.empty()) {
        m_environment.forwardChanges(changes->changes);
    }
    m_environment.loop.sleepFor(ChangeBatchInterval);
    return {};
}

void PeerDirectory::publish()
{
    m_writePending = true;
    if (std::exchange(m_writing, true)) {
        return;
    }
    m_environment.loop.spawn([this] {
        write();
    });
}

void PeerDirectory::awaitWritten(TimePoint deadline)
{
    while (m_writing && m_environment.loop.clock().now() < deadline) {
        m_environment.loop.sleepFor(WrittenCheckInterval);
    }
}

void PeerDirectory::write()
{
    Backoff backoff = storeBackoff();
    while (m_writePending && !m_stopped) {
        if (const auto read = readOwnEntry(); !read) {
            Log.warning("own_entry_unknown", { { "error", read.error().describe() } });
            m_environment.loop.sleepFor(backoff.next());
            continue;
        }
        m_writePending = false;
        const auto entry = m_environment.ownEntry();
        const auto published = m_environment.store.publish(entry);
        if (!published) {
            Log.warning("publish_failed", { { "error", published.error().describe() } });
            m_writePending = true;
            m_environment.loop.sleepFor(backoff.next());
            continue;
        }
        m_environment.departuresWritten(entry.departures);
        Log.info("entry_written",
                 { { "era", std::to_string(*published) },
                   { "departed", entry.departures.text() },
                   { "withdrawn", entry.withdrawn ? "yes" : "no" } });
    }
    m_writing = false;
    m_published = true;
}

Result<void> PeerDirectory::readOwnEntry()
{
    if (m_earlierEntryRead) {
        return {};
    }
    const auto stored = m_environment.store.readEntry(m_environment.ownEntry().peerAddress);
    if (!stored) {
        return tl::unexpected(stored.error());
    }
    applyEarlierEntry(stored->entry);
    return {};
}

void PeerDirectory::applyEarlierEntry(const std::optional<DirectoryEntry> &entry)
{
    const bool isFirstRead = !std::exchange(m_earlierEntryRead, true);
    if (isFirstRead && !entry) {
        m_environment.noEarlierEntry();
    }
    m_environment.departuresRead(entry ? entry->departures : UpstreamDepartures());
}

void PeerDirectory::restoreEntry()
{
    Backoff backoff = storeBackoff();
    // A write in progress ends in the new era, or is repeated because its answer is of an earlier one.
    while (!m_left && !m_writing) {
        const auto stored = m_environment.store.readEntry(m_environment.ownEntry().peerAddress);
        if (stored) {
            if (stored->entry) {
                m_environment.departuresWritten(stored->entry->departures);
            }
            if (!m_left && stored->entry != m_environment.ownEntry()) {
                Log.warning("own_entry_lost",
                            { { "era", std::to_string(stored->position.era) }, { "stored", stored->entry ? "outdated" : "none" } });
                publish();
            }
            return;
        }
        Log.warning("own_entry_unknown", { { "error", stored.error().describe() } });
        m_environment.loop.sleepFor(backoff.next());
    }
}

void PeerDirectory::applyAll(const std::vector<DirectoryEntry> &entries)
{
    const std::string ownKey = keyOf(m_environment.ownEntry());
    std::set<std::string> keys;
    for (const auto &it : entries) {
        keys.insert(keyOf(it));
        apply(it);
    }
    if (!keys.contains(ownKey)) {
        applyEarlierEntry(std::nullopt);
    }
    // A node may be alive without an entry: it couldn't write it yet, or the store lost it.
    const TimePoint removableFrom = m_environment.loop.now() + EntryReturnTime;
    for (const auto &[key, link] : m_links) {
        if (!keys.contains(key)) {
            m_missingKeys.emplace(key, removableFrom);
        }
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
    m_withdrawnEntries.erase(key);
    if (key != ownKey) {
        // A connected node is alive whatever the store says, and has to be told that its entry is gone. It may also have restarted since.
        m_missingKeys.emplace(key, m_environment.loop.now());
    } else if (m_published && !m_left) {
        publish();
    }
}

void PeerDirectory::applyOwn(const DirectoryEntry &entry)
{
    applyEarlierEntry(entry);
    const auto own = m_environment.ownEntry();
    m_ownEntrySeen = m_ownEntrySeen || entry == own;
    if (!m_published) {
        return;
    }
    if (m_left || m_writing || entry == own) {
        return;
    }
    // The store may apply an earlier write after a later one; no other node writes under this address.
    Log.warning("own_entry_outdated",
                { { "stored_incarnation", std::to_string(entry.incarnation) },
                  { "incarnation", std::to_string(own.incarnation) },
                  { "stored_departed", entry.departures.text() },
                  { "departed", own.departures.text() } });
    publish();
}

void PeerDirectory::add(const DirectoryEntry &entry, bool fromStore)
{
    const std::string key = keyOf(entry);
    if (key == keyOf(m_environment.ownEntry())) {
        return;
    }
    if (entry.withdrawn) {
        // A node that is stopping may still tell so itself; until the store has its entry, its peers keep what it must be told after a
        // restart.
        if (fromStore) {
            keepDepartures(entry);
            retire(entry);
        }
        return;
    }
    m_missingKeys.erase(key);
    m_withdrawnEntries.erase(key);
    const auto found = m_links.find(key);
    if (found != m_links.end()) {
        // A connected node has told its entry itself; the store's may be of an earlier process, whose clock may have been ahead.
        const auto &link = *found->second;
        const bool replaces = fromStore ? link.disconnectedSince().has_value() : entry.incarnation > link.entry().incarnation;
        if (replaces && !(link.entry() == entry)) {
            found->second->setEntry(entry);
        }
        if (fromStore) {
            keepDepartures(entry);
        }
        return;
    }
    Log.info("peer_added",
             { { "peer", entry.node.text() },
               { "service", entry.service.text() },
               { "data_centre", entry.dataCentre.text() },
               { "source", fromStore ? "store" : "peer" } });
    auto link = std::make_shared<MeshLink>(
        m_environment.loop, m_environment.bufferBudget, entry, m_environment.ownEntry().dataCentre, m_environment.linkHandlers);
    m_links.emplace(key, link);
    if (fromStore) {
        keepDepartures(entry);
    }
    link->start();
    m_environment.onPeersChanged();
}

void PeerDirectory::keepDepartures(const DirectoryEntry &entry)
{
    const auto found = m_links.find(keyOf(entry));
    if (found != m_links.end()) {
        found->second->keepStoredDepartures(entry.departures);
    }
}

void PeerDirectory::retire(const DirectoryEntry &entry)
{
    const std::string key = keyOf(entry);
    const auto found = m_links.find(key);
    if (found != m_links.end() && found->second->entry().incarnation > entry.incarnation) {
        return; // a later process has connected
    }
    const TimePoint now = m_environment.loop.now();
    m_missingKeys.emplace(key, now);
    m_withdrawnEntries.try_emplace(key, entry, now + WithdrawnEntryRetention);
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
    m_environment.onPeersChanged();
}

void PeerDirectory::tick(TimePoint now)
{
    // Iterates over a copy, because a lost link may modify the map.
    for (const auto &[key, link] : std::map(m_links)) {
        link->checkLiveness(now);
    }
    removeMissing(now);
    removeDead(now);
    removeWithdrawn(now);
}

void PeerDirectory::removeMissing(TimePoint now)
{
    for (const auto &[key, removableFrom] : std::map(m_missingKeys)) {
        const auto found = m_links.find(key);
        if (found == m_links.end()) {
            m_missingKeys.erase(key);
        } else if (found->second->disconnectedSince() && now >= removableFrom) {
            m_missingKeys.erase(key);
            remove(key);
        }
    }
}

void PeerDirectory::removeDead(TimePoint now)
{
    for (const auto &[key, link] : m_links) {
        const auto down = link->disconnectedSince();
        if (!down || now - *down < DeadPeerTimeout) {
            continue;
        }
        withdraw(link->entry(), "dead_peer_withdrawn");
        remove(std::string(key));
        return;
    }
}

void PeerDirectory::removeWithdrawn(TimePoint now)
{
    if (m_withdrawnEntries.empty() || !m_environment.watchesStore()) {
        return;
    }
    const auto expired = std::find_if(m_withdrawnEntries.begin(), m_withdrawnEntries.end(), [now](const auto &it) {
        return now >= it.second.second;
    });
    if (expired != m_withdrawnEntries.end()) {
        withdraw(expired->second.first, "withdrawn_entry_removed");
        m_withdrawnEntries.erase(expired);
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
