#include "claims/gathering/claimgathering.h"

#include <algorithm>
#include <cstdint>
#include <utility>
#include <xxhash.h>

namespace Pimentohollow
{

std::optional<NodeName> claimGatherer(const DataCentreName &dataCentre, std::size_t fleetSize, const std::vector<NodeName> &members)
{
    if (fleetSize < GatheringFleetSize || members.empty()) {
        return std::nullopt;
    }
    const auto weight = [&dataCentre](const NodeName &node) {
        const auto text = "claims/" + dataCentre.text() + "/" + node.text();
        return std::pair(std::uint64_t(XXH64(text.data(), text.size(), 0)), node);
    };
    return *std::max_element(members.begin(), members.end(), [&weight](const NodeName &a, const NodeName &b) {
        return weight(a) < weight(b);
    });
}

} // namespace Pimentohollow
