#include "membership/table/membertable.h"

#include <algorithm>
#include <set>
#include <tuple>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace Pimentohollow
{

namespace
{

std::uint64_t hashOf(const NodeName &node, std::uint64_t incarnation, unsigned state, unsigned extra)
{
    const auto seed = incarnation * 0x9e3779b97f4a7c15ULL + (std::uint64_t{ extra } << 8 | state);
    return XXH3_64bits_withSeed(node.text().data(), node.text().size(), seed);
}

/** Keeps the hashes of members and of upstreams apart. */
constexpr unsigned UpstreamStateOffset = 100;

} // namespace

bool MemberTable::merge(const MemberUpdate &update, TimePoint now)
{
    const auto it = m_members.find(update.node);
    if (it == m_members.end()) {
        m_members.emplace(update.node, Member{ update, now });
        return true;
    }
    auto &known = it->second.update;
    if (std::tie(update.incarnation, update.state) <= std::tie(known.incarnation, known.state)) {
        return false;
    }
    known = update;
    it->second.changedAt = now;
    return true;
}

UpstreamMerge MemberTable::merge(const UpstreamRecord &record, TimePoint now)
{
    const auto it = m_upstreams.find(record.node);
    if (it == m_upstreams.end()) {
        m_upstreams.emplace(record.node, UpstreamEntry{ record, now, now });
        return UpstreamMerge::StateChanged;
    }
    auto &entry = it->second;
    if (record.sequence <= entry.record.sequence) {
        return UpstreamMerge::Old;
    }
    const auto identity = [](const UpstreamRecord &upstream) {
        return std::tie(upstream.state, upstream.incarnation, upstream.service);
    };
    const bool stateChanged = identity(record) != identity(entry.record);
    entry.record = record;
    entry.changedAt = now;
    if (stateChanged) {
        entry.stateChangedAt = now;
    }
    return stateChanged ? UpstreamMerge::StateChanged : UpstreamMerge::LoadChanged;
}

const Member *MemberTable::find(const NodeName &node) const
{
    const auto it = m_members.find(node);
    return it == m_members.end() ? nullptr : &it->second;
}

const UpstreamEntry *MemberTable::findUpstream(const NodeName &node) const
{
    const auto it = m_upstreams.find(node);
    return it == m_upstreams.end() ? nullptr : &it->second;
}

const std::map<NodeName, Member> &MemberTable::members() const
{
    return m_members;
}

const std::map<NodeName, UpstreamEntry> &MemberTable::upstreams() const
{
    return m_upstreams;
}

std::vector<const Member *> MemberTable::reachableMembers(const DataCentreName &dataCentre, const NodeName &except) const
{
    std::vector<const Member *> result;
    for (const auto &[name, member] : m_members) {
        if (member.update.dataCentre == dataCentre && member.reachable() && name != except) {
            result.push_back(&member);
        }
    }
    return result;
}

std::vector<DataCentreName> MemberTable::dataCentres() const
{
    std::set<DataCentreName> names;
    for (const auto &[name, member] : m_members) {
        names.insert(member.update.dataCentre);
    }
    return { names.begin(), names.end() };
}

std::vector<TableDigest> MemberTable::digests() const
{
    std::map<DataCentreName, std::uint64_t> digests;
    for (const auto &[name, member] : m_members) {
        if (!member.reachable()) {
            continue;
        }
        const auto &it = member.update;
        auto &digest = digests[it.dataCentre];
        digest ^= hashOf(name, it.incarnation, static_cast<unsigned>(it.state), it.shares);
        if (const auto *upstream = findUpstream(name)) {
            const auto &record = upstream->record;
            digest ^= hashOf(name, record.incarnation, UpstreamStateOffset + static_cast<unsigned>(record.state), 0);
        }
    }
    std::vector<TableDigest> result;
    result.reserve(digests.size());
    for (const auto &[name, digest] : digests) {
        result.push_back({ name, digest });
    }
    return result;
}

std::vector<GossipUpdate> MemberTable::records(const DataCentreName &dataCentre) const
{
    std::vector<GossipUpdate> result;
    for (const auto &[name, member] : m_members) {
        if (member.update.dataCentre != dataCentre) {
            continue;
        }
        result.emplace_back(member.update);
        const auto *upstream = findUpstream(name);
        if (upstream != nullptr && member.reachable()) {
            result.emplace_back(upstream->record);
        }
    }
    return result;
}

std::vector<NodeName> MemberTable::removeDead(TimePoint limit)
{
    std::vector<NodeName> removed;
    for (const auto &[name, member] : m_members) {
        if (!member.reachable() && member.changedAt < limit) {
            removed.push_back(name);
        }
    }
    for (const auto &it : removed) {
        m_members.erase(it);
        m_upstreams.erase(it);
    }
    return removed;
}

} // namespace Pimentohollow
