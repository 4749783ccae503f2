#pragma once

#include "configuration/changes/fleetchange.h"

#include <optional>
#include <string>

namespace Pimentohollow
{

enum class WithdrawalMark {
    Marked,
    AlreadyWithdrawn,
    UnknownKey,
};

/** Marks a key as withdrawn. @param time kept in whole seconds */
WithdrawalMark markWithdrawn(FleetConfiguration &fleet, const KeyId &key, const std::string &reason, WallTime time);

/**
 * The change with which a node records a withdrawal that was made through it while the platform was unavailable; nothing
 * if it is recorded already or the key is unknown.
 *
 * Author, reason and time are those of the operator. The id follows from key and version, so that two nodes which record
 * the same withdrawal on the same version write the same transaction.
 */
std::optional<FleetChange>
makeWithdrawalChange(const VersionedFleet &base, const KeyId &key, const std::string &author, const std::string &reason, WallTime time);

} // namespace Pimentohollow
