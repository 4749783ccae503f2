#include "mesh/decisions/requestrank.h"

#include <algorithm>

namespace Pimentohollow
{

std::uint32_t requestRank(const TrafficRoute &route, const TrafficAccount *account)
{
    const bool ranked = account != nullptr && account->rank != TrafficAccount::NoRank;
    return route.rank * AccountRanks + (ranked ? std::min(account->rank, AccountRanks - 1) : 0);
}

} // namespace Pimentohollow
