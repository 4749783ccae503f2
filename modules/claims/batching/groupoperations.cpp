#include "claims/batching/groupoperations.h"

#include <algorithm>

namespace Pimentohollow
{

namespace
{

TableOperation upkeepOperation(const GroupItem &item)
{
    if (const auto *it = std::get_if<OutcomeItem>(&item)) {
        const RowCondition condition = AttributeEquals{ std::string(ClaimIdAttribute), it->claim.claimId };
        const PutRow put{ claimRowKey(it->claim.key), claimToRow(it->claim), condition };
        return put;
    }
    const auto &claim = std::get<ReleaseItem>(item).claim;
    const RowCondition condition = AttributeEquals{ std::string(ClaimIdAttribute), claim.claimId };
    const DeleteRow remove{ claimRowKey(claim.key), condition };
    return remove;
}

} // namespace

const ClaimKey &keyOf(const GroupItem &item)
{
    if (const auto *it = std::get_if<ClaimItem>(&item)) {
        return it->claim.key;
    }
    if (const auto *it = std::get_if<OutcomeItem>(&item)) {
        return it->claim.key;
    }
    return std::get<ReleaseItem>(item).claim.key;
}

std::vector<TableOperation> groupOperations(const std::vector<GroupItem> &upkeep,
                                            const std::vector<Claim> &claims,
                                            const DataCentreName &dataCentre,
                                            const std::string &token)
{
    std::vector<TableOperation> operations;
    operations.reserve(upkeep.size() + claims.size() + 1);
    for (const auto &it : upkeep) {
        operations.push_back(upkeepOperation(it));
    }
    // Named operations are copied: GCC 12 warns falsely about the uninitialised alternative of a moved condition.
    std::vector<ClaimReference> references;
    WallTime latestExpiry{};
    for (const auto &claim : claims) {
        const PutRow put{ claimRowKey(claim.key), claimToRow(claim), RowAbsent{} };
        operations.emplace_back(put);
        references.push_back({ claim.key, claim.claimId });
        latestExpiry = std::max(latestExpiry, claim.expiresAt);
    }
    if (!references.empty()) {
        const PutRow put{ expiryRowKey(dataCentre, latestExpiry, token), expiryRow(references), NoCondition{} };
        operations.emplace_back(put);
    }
    return operations;
}

} // namespace Pimentohollow
