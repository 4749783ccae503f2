#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace Pimentohollow
{

/**
 * The processes of upstreams that have left and must not receive requests again. Entries are only added, so that the sets of a node, of its
 * directory entry and of its peers can be merged in any order.
 */
class UpstreamDepartures
{
public:
    /**
     * Records that all processes of upstream @p id that started at @p latestStart, in ms since the epoch, or earlier have left. Returns
     * true if that wasn't known.
     */
    bool add(const std::string &id, std::int64_t latestStart);
    /** Adds the entries of @p other. Returns true if one of them wasn't known. */
    bool merge(const UpstreamDepartures &other);

    /** True if the process of upstream @p id that started at @p startedAt has left. */
    bool covers(const std::string &id, std::int64_t startedAt) const;
    /** True if every process that @p other covers is covered. */
    bool includes(const UpstreamDepartures &other) const;

    bool empty() const
    {
        return m_entries.empty();
    }

    /** The entries, for a log line. */
    std::string text() const;

    bool operator==(const UpstreamDepartures &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(m_entries);
    }

private:
    struct Entry {
        std::string id;
        /** A process of this id that started later is another one, which hasn't left. */
        std::int64_t latestStart = 0;

        bool operator==(const Entry &) const = default;

        template <typename Archive>
        void serialize(Archive &archive)
        {
            archive(id, latestStart);
        }
    };

    /** In the order in which they became known. */
    std::vector<Entry> m_entries;
};

} // namespace Pimentohollow
