#pragma once

#include "configuration/changes/fleetchange.h"
#include "configuration/fleet/fleetview.h"

#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace Pimentohollow
{

/**
 * What one node sends another so that it catches up: a list of changes, or a whole document for one that is too far
 * behind. The texts are those of writeChange() and writeFleet().
 */
struct ConfigurationTransfer {
    /** Version of the document; 0 if there is none. */
    std::uint64_t documentVersion = 0;
    std::string document;
    /** In order, without gaps. */
    std::vector<std::string> changes;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(documentVersion, document, changes);
    }
};

/** What became of an offered configuration. */
struct TrackerUpdate {
    /** The version now in force. */
    std::uint64_t version = 0;
    /** True if the version went up. */
    bool moved = false;
    /** Why something was refused: malformed, failing the checks, or not following the version in force. */
    Findings findings;
};

/**
 * The configuration in force at a node. It never moves to a lower version, whoever offers one, and it takes a change or
 * a document only after checking it.
 *
 * Changes come from the platform and from peers alike. The newest ones are kept for peers. Thread-safe; view() is cheap.
 * @see ConfigurationStore
 */
class ConfigurationTracker
{
public:
    /** Most bytes of changes that are kept for peers; about a day of changes at the large size. */
    static constexpr std::size_t KeptChangeBytes = std::size_t{ 2 } * 1024 * 1024;

    std::uint64_t version() const;

    /** The configuration in force; null before the first one. */
    std::shared_ptr<const FleetView> view() const;

    /** Takes a whole configuration, for example from ConfigurationStore::load(). One that isn't newer is ignored. */
    TrackerUpdate adopt(const VersionedFleet &fleet);

    /** Takes changes in order; those of versions in force already are ignored, and the first that doesn't fit ends the list. */
    TrackerUpdate apply(const std::vector<FleetChange> &changes);

    /** Takes what a peer sent. */
    TrackerUpdate accept(const ConfigurationTransfer &transfer);

    /**
     * What a peer at @p version needs; empty if it needs nothing.
     * @param maximumBytes of changes; a peer that is still behind asks again. A document is sent whole.
     */
    ConfigurationTransfer transferAfter(std::uint64_t version, std::size_t maximumBytes) const;

private:
    struct KeptChange {
        std::uint64_t version;
        std::string text;
    };

    void moveTo(const VersionedFleet &fleet);
    void keep(const FleetChange &change);
    bool applyOne(const FleetChange &change, Findings &findings);

    /** Held while a configuration is checked, which may take milliseconds; requests only take m_viewMutex. */
    mutable std::mutex m_updateMutex;
    mutable std::mutex m_viewMutex;
    std::shared_ptr<const FleetView> m_view;
    /** Without gaps, up to the version in force. */
    std::deque<KeptChange> m_kept;
    std::size_t m_keptBytes = 0;
};

} // namespace Pimentohollow
