#pragma once

#include "messages/gossip/gossipupdate.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Pimentohollow
{

/** Order in which updates fill a datagram. */
enum class UpdateUrgency : std::uint8_t {
    State, ///< spread at once: members, states of upstreams, withdrawals, crashes
    Load, ///< rides along and is dropped first
};

/**
 * Updates that still have to be passed on. Each is sent a bounded number of times; a newer update about the same thing
 * replaces an older one.
 */
class UpdateQueue
{
public:
    /** Older load is dropped above this: at a datagram of about 20 records per second it would be stale anyway. */
    static constexpr std::size_t MaximumLoadUpdates = 256;

    void add(const GossipUpdate &update, UpdateUrgency urgency);

    /** Takes updates that fit @p bytes: urgent ones first, then those sent least often, then the newest. */
    std::vector<GossipUpdate> take(std::size_t bytes, std::size_t members);

    bool hasUrgent() const;
    bool empty() const;

    /** How often an update is sent by each node when there are @p members of them. */
    static std::size_t repeats(UpdateUrgency urgency, std::size_t members);

private:
    struct Entry {
        GossipUpdate update;
        std::size_t bytes = 0;
        UpdateUrgency urgency = UpdateUrgency::State;
        std::size_t sent = 0;
        std::uint64_t order = 0;
    };

    void dropOldestLoad();

    std::map<std::string, Entry> m_entries;
    std::uint64_t m_order = 0;
    std::size_t m_loadCount = 0;
};

} // namespace Pimentohollow
