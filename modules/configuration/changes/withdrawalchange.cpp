#include "configuration/changes/withdrawalchange.h"

#include <fmt/format.h>

namespace Pimentohollow
{

WithdrawalMark markWithdrawn(FleetConfiguration &fleet, const KeyId &key, const std::string &reason, WallTime time)
{
    const auto it = fleet.keys.find(key);
    if (it == fleet.keys.end()) {
        return WithdrawalMark::UnknownKey;
    }
    if (it->second.withdrawn) {
        return WithdrawalMark::AlreadyWithdrawn;
    }
    it->second.withdrawn = std::chrono::floor<std::chrono::seconds>(time);
    it->second.withdrawalReason = reason;
    return WithdrawalMark::Marked;
}

std::optional<FleetChange>
makeWithdrawalChange(const VersionedFleet &base, const KeyId &key, const std::string &author, const std::string &reason, WallTime time)
{
    FleetConfiguration target = base.fleet;
    if (markWithdrawn(target, key, reason, time) != WithdrawalMark::Marked) {
        return std::nullopt;
    }
    FleetChange change;
    change.version = base.version + 1;
    change.changeId = fmt::format("withdrawal-{}-{}", key.text(), change.version);
    change.author = author;
    change.time = std::chrono::floor<std::chrono::seconds>(time);
    change.reason = reason;
    change.upserts.emplace_back(target.keys.at(key));
    return change;
}

} // namespace Pimentohollow
