#include "mesh/node/eracheckedstore.h"

#include "core/logger.h"

#include <utility>

namespace Pimentohollow
{

namespace
{

const Logger Log("mesh");

tl::unexpected<Error> historyGone(const StorePosition &position)
{
    return failure(ErrorKind::NotFound, "store.era", "the store came back from a copy since era " + std::to_string(position.era), "store");
}

} // namespace

EraCheckedStore::EraCheckedStore(FleetStore &store, std::function<void()> onNewEra)
    : m_store(store)
    , m_onNewEra(std::move(onNewEra))
{
}

Result<RulesState> EraCheckedStore::readRules()
{
    return read([this] {
        return m_store.readRules();
    });
}

Result<RulesState> EraCheckedStore::watchRules(const StorePosition &position, const WatchLimits &limits)
{
    return watch(position, [&] {
        return m_store.watchRules(position, limits);
    });
}

Result<DirectoryState> EraCheckedStore::readDirectory()
{
    return read([this] {
        return m_store.readDirectory();
    });
}

Result<EntryState> EraCheckedStore::readEntry(const IpEndpoint &peerAddress)
{
    return read([&] {
        return m_store.readEntry(peerAddress);
    });
}

Result<DirectoryChanges> EraCheckedStore::watchDirectory(const StorePosition &position, const WatchLimits &limits)
{
    return watch(position, [&] {
        return m_store.watchDirectory(position, limits);
    });
}

Result<StoreEra> EraCheckedStore::publish(const DirectoryEntry &entry)
{
    return write([&] {
        return m_store.publish(entry);
    });
}

Result<StoreEra> EraCheckedStore::addDepartures(const IpEndpoint &peerAddress, const UpstreamDepartures &departures)
{
    return write([&] {
        return m_store.addDepartures(peerAddress, departures);
    });
}

Result<StoreEra> EraCheckedStore::withdraw(const DirectoryEntry &entry)
{
    return write([&] {
        return m_store.withdraw(entry);
    });
}

void EraCheckedStore::learnEra(StoreEra era, std::string_view source)
{
    if (era <= m_era) {
        return;
    }
    const StoreEra previous = std::exchange(m_era, era);
    Log.info("store_era_changed",
             { { "era", std::to_string(era) }, { "previous", std::to_string(previous) }, { "source", std::string(source) } });
    if (previous != 0) {
        m_onNewEra();
    }
}

template <typename Read>
auto EraCheckedStore::read(Read &&call) -> decltype(call())
{
    auto state = call();
    if (state) {
        if (const auto accepted = accept(state->position.era); !accepted) {
            return tl::unexpected(accepted.error());
        }
    }
    return state;
}

template <typename Watch>
auto EraCheckedStore::watch(const StorePosition &position, Watch &&call) -> decltype(call())
{
    if (position.era != m_era) {
        return historyGone(position);
    }
    auto changes = read(call);
    if (changes && changes->position.era != position.era) {
        return historyGone(position);
    }
    return changes;
}

template <typename Write>
Result<StoreEra> EraCheckedStore::write(Write &&call)
{
    auto era = call();
    if (era) {
        if (const auto accepted = accept(*era); !accepted) {
            return tl::unexpected(accepted.error());
        }
    }
    return era;
}

Result<void> EraCheckedStore::accept(StoreEra era)
{
    if (era < m_era) {
        return failure(ErrorKind::Unavailable,
                       "store.era",
                       "the answer is of era " + std::to_string(era) + ", before " + std::to_string(m_era),
                       "store");
    }
    learnEra(era, "store");
    return {};
}

} // namespace Pimentohollow
