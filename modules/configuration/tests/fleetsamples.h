#pragma once

#include "configuration/configuration.h"

#include <rapidcheck.h>

namespace Pimentohollow
{

/** A small valid fleet of randomly chosen entities. */
inline FleetConfiguration makeRandomFleet()
{
    FleetConfiguration fleet;
    fleet.defaults.retries = *rc::gen::inRange(0U, 4U);
    fleet.upsert(ServiceEntity{ ServiceName("base"), {}, {}, {}, {} });
    const auto names = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
    for (const int it : names) {
        const std::string name = "n" + std::to_string(it);
        switch (*rc::gen::inRange(0, 6)) {
        case 0:
            fleet.upsert(ServiceEntity{ ServiceName(name), {}, {}, 100U + static_cast<unsigned>(it), {} });
            break;
        case 1:
            fleet.upsert(RouteEntity{ RouteName(name), ServiceName("base"), "/" + name, { "GET" }, it % 2 == 0, false, false, {}, {} });
            break;
        case 2:
            fleet.upsert(AccountEntity{ AccountName(name), *rc::gen::inRange(1, 5) * 0.1, 5 });
            break;
        case 3:
            fleet.upsert(DataCentreEntity{ DataCentreName(name), {} });
            break;
        case 4:
            fleet.upsert(KeyEntity{ KeyId(name), AccountName("gone"), std::string(64, static_cast<char>('0' + it)), WallTime(), "lost" });
            break;
        default:
            fleet.upsert(DrainEntity{ NodeName(name), DrainMode::Drain, "reason", {} });
            break;
        }
    }
    return fleet;
}

/** A change from @p base to @p target with its record filled in. */
inline FleetChange makeChange(const VersionedFleet &base, const FleetConfiguration &target, const std::string &changeId)
{
    FleetChange change = diffFleets(base.fleet, target);
    change.version = base.version + 1;
    change.changeId = changeId;
    change.author = "maria";
    change.time = *parseTime("2026-12-04T03:00:00Z");
    change.reason = "a \"test\"";
    return change;
}

/** A change that sets the rate of one account. */
inline FleetChange makeRateChange(const VersionedFleet &base, const std::string &account, double rate, const std::string &changeId)
{
    FleetConfiguration target = base.fleet;
    target.upsert(AccountEntity{ AccountName(account), rate, 10 });
    return makeChange(base, target, changeId);
}

} // namespace Pimentohollow
