#pragma once

#include "core/names.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace Pimentohollow
{

/**
 * Chooses which members connect a pair of data centres: on each side the three with the highest rendezvous hash.
 *
 * Each node decides alone from its own table. Nodes with different tables choose different members for a while, which
 * costs messages but never correctness, since updates are ordered by incarnation and sequence.
 */
class DataCentreLinks
{
public:
    /** Members per side, so that two of them may fail at once. */
    static constexpr std::size_t MembersPerLink = 3;

    /** Rendezvous hash of a node for an unordered pair of data centres. */
    static std::uint64_t weight(const NodeName &node, const DataCentreName &a, const DataCentreName &b);

    /** The members of @p candidates that link @p own with @p other, highest hash first. */
    static std::vector<NodeName> chosen(const std::vector<NodeName> &candidates,
                                        const DataCentreName &own,
                                        const DataCentreName &other,
                                        std::size_t count = MembersPerLink);

    /** The place of @p self among the chosen members, or nothing if it isn't one. */
    static std::optional<std::size_t>
    rank(const NodeName &self, const std::vector<NodeName> &candidates, const DataCentreName &own, const DataCentreName &other);
};

} // namespace Pimentohollow
