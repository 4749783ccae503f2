#pragma once

#include "claims/batching/groupitem.h"

#include <string>
#include <vector>

namespace Pimentohollow
{

/** The key of the claim that an item is about. */
const ClaimKey &keyOf(const GroupItem &item);

/** The transaction of a group: its upkeep, then its claims, each in the given order, then the expiry row if there are claims. */
std::vector<TableOperation> groupOperations(const std::vector<GroupItem> &upkeep,
                                            const std::vector<Claim> &claims,
                                            const DataCentreName &dataCentre,
                                            const std::string &token);

} // namespace Pimentohollow
