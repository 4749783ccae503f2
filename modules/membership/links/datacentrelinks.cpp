#include "membership/links/datacentrelinks.h"

#include <algorithm>
#include <string>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace Pimentohollow
{

namespace
{

std::uint64_t pairSeed(const DataCentreName &a, const DataCentreName &b)
{
    const auto &[low, high] = std::minmax(a, b);
    const auto key = low.text() + '\n' + high.text();
    return XXH3_64bits(key.data(), key.size());
}

std::uint64_t seededWeight(const NodeName &node, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(node.text().data(), node.text().size(), seed);
}

} // namespace

std::uint64_t DataCentreLinks::weight(const NodeName &node, const DataCentreName &a, const DataCentreName &b)
{
    return seededWeight(node, pairSeed(a, b));
}

std::vector<NodeName>
DataCentreLinks::chosen(const std::vector<NodeName> &candidates, const DataCentreName &own, const DataCentreName &other, std::size_t count)
{
    const auto seed = pairSeed(own, other);
    std::vector<std::pair<std::uint64_t, const NodeName *>> weighted;
    weighted.reserve(candidates.size());
    for (const auto &it : candidates) {
        weighted.emplace_back(seededWeight(it, seed), &it);
    }
    const auto size = std::min(count, weighted.size());
    const auto heavier = [](const auto &a, const auto &b) {
        return a.first != b.first ? a.first > b.first : *a.second < *b.second;
    };
    std::partial_sort(weighted.begin(), weighted.begin() + static_cast<std::ptrdiff_t>(size), weighted.end(), heavier);
    std::vector<NodeName> result;
    result.reserve(size);
    for (std::size_t n = 0; n < size; ++n) {
        result.push_back(*weighted[n].second);
    }
    return result;
}

std::optional<std::size_t>
DataCentreLinks::rank(const NodeName &self, const std::vector<NodeName> &candidates, const DataCentreName &own, const DataCentreName &other)
{
    const auto members = chosen(candidates, own, other);
    const auto it = std::find(members.begin(), members.end(), self);
    if (it == members.end()) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(it - members.begin());
}

} // namespace Pimentohollow
