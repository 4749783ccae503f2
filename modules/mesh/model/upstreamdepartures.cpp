#include "mesh/model/upstreamdepartures.h"

#include <algorithm>

namespace Pimentohollow
{

namespace
{

/** Bounds the size of a directory entry and of a status; a VM seldom runs more upstreams within the time in which a message may be late. */
constexpr std::size_t MaximumEntries = 8;

} // namespace

bool UpstreamDepartures::add(const std::string &id, std::int64_t latestStart)
{
    if (covers(id, latestStart)) {
        return false;
    }
    std::erase_if(m_entries, [&id](const Entry &it) {
        return it.id == id;
    });
    if (m_entries.size() == MaximumEntries) {
        m_entries.erase(m_entries.begin());
    }
    m_entries.push_back({ id, latestStart });
    return true;
}

bool UpstreamDepartures::merge(const UpstreamDepartures &other)
{
    bool changed = false;
    for (const auto &it : other.m_entries) {
        changed = add(it.id, it.latestStart) || changed;
    }
    return changed;
}

bool UpstreamDepartures::covers(const std::string &id, std::int64_t startedAt) const
{
    return std::any_of(m_entries.begin(), m_entries.end(), [&id, startedAt](const Entry &it) {
        return it.id == id && startedAt <= it.latestStart;
    });
}

bool UpstreamDepartures::includes(const UpstreamDepartures &other) const
{
    return std::all_of(other.m_entries.begin(), other.m_entries.end(), [this](const Entry &it) {
        return covers(it.id, it.latestStart);
    });
}

std::string UpstreamDepartures::text() const
{
    std::string text;
    for (const auto &it : m_entries) {
        text += (text.empty() ? "" : " ") + it.id + "@" + std::to_string(it.latestStart);
    }
    return text;
}

} // namespace Pimentohollow
