#pragma once

#include "mesh/model/fleetstore.h"

#include <functional>
#include <string_view>

namespace Pimentohollow
{

/**
 * Access to the store that returns only what holds in its newest era. A store that comes back from a copy lacks writes that it had
 * acknowledged, and gives out their revisions again, so that nothing that it said before holds any more. The newest known era comes from
 * the store's answers and from other nodes, because the store may leave a node without answers.
 *
 * Errors, beyond those of the store: NotFound if a watched position is of another era than the answer or than the newest known one;
 * Unavailable if an answer is of an earlier era, in which case a write has to be repeated.
 */
class EraCheckedStore : public FleetStore
{
public:
    /** @param onNewEra called when a newer era than a known one becomes known */
    EraCheckedStore(FleetStore &store, std::function<void()> onNewEra);

    Result<RulesState> readRules() override;
    Result<RulesState> watchRules(const StorePosition &position, const WatchLimits &limits) override;
    Result<DirectoryState> readDirectory() override;
    Result<EntryState> readEntry(const IpEndpoint &peerAddress) override;
    Result<DirectoryChanges> watchDirectory(const StorePosition &position, const WatchLimits &limits) override;
    Result<StoreEra> publish(const DirectoryEntry &entry) override;
    Result<StoreEra> addDepartures(const IpEndpoint &peerAddress, const UpstreamDepartures &departures) override;
    Result<StoreEra> withdraw(const DirectoryEntry &entry) override;

    /** Records an era that another node knows. @param source name of that node, for the log */
    void learnEra(StoreEra era, std::string_view source);

    /** The newest known era; 0 before any is known. */
    StoreEra era() const
    {
        return m_era;
    }

private:
    template <typename Read>
    auto read(Read &&call) -> decltype(call());
    template <typename Watch>
    auto watch(const StorePosition &position, Watch &&call) -> decltype(call());
    template <typename Write>
    Result<StoreEra> write(Write &&call);
    /** Checks the era of an answer. Errors: Unavailable if it is an earlier one. */
    Result<void> accept(StoreEra era);

    FleetStore &m_store;
    std::function<void()> m_onNewEra;
    StoreEra m_era = 0;
};

} // namespace Pimentohollow
