#include "membership/links/linkexchanges.h"

#include "membership/links/datacentrelinks.h"
#include "messages/gossip/datagramcodec.h"

#include <algorithm>

namespace Pimentohollow
{

namespace
{

/** Regular exchanges repeat the changes of this time, so that two lost datagrams in a row delay nothing. */
constexpr Duration RepeatTime = std::chrono::milliseconds(2500);
/** Load of other data centres matters only when the local upstreams are full; a rough picture is enough. */
constexpr std::size_t LoadBytes = DatagramCodec::MaximumBytes - 200;
constexpr std::size_t MaximumDatagramsPerExchange = 16;

GossipEndpoint endpointOf(const Member &member)
{
    return { member.update.address.host, member.update.address.gossipPort };
}

std::vector<NodeName> namesOf(const std::vector<const Member *> &members)
{
    std::vector<NodeName> names;
    names.reserve(members.size());
    for (const auto *it : members) {
        names.push_back(it->update.node);
    }
    return names;
}

} // namespace

LinkExchanges::LinkExchanges(const MembershipSettings &settings, Random &random)
    : m_settings(settings)
    , m_random(random)
{
}

std::vector<LinkMessage> LinkExchanges::due(const MemberView &view, bool news, TimePoint now)
{
    std::vector<LinkMessage> messages;
    for (const auto &it : view.table().dataCentres()) {
        if (it == m_settings.dataCentre) {
            continue;
        }
        auto &link = m_links[it];
        const bool regular = now >= link.nextExchange;
        if (regular) {
            refresh(it, link, view, now);
        }
        if (!link.counterpart || (!regular && !news)) {
            continue;
        }
        auto updates = stateChanges(view, regular ? now - RepeatTime : link.lastSent);
        if (regular) {
            addLoad(updates, view, link.lastSent);
        }
        addUpdates(messages, *link.counterpart, updates);
        link.lastSent = now;
        if (regular && now >= link.nextDigest) {
            const bool silent = now - link.lastHeard > m_settings.timing.linkTimeout;
            link.nextDigest = now + (silent ? m_settings.timing.exchangeInterval : m_settings.timing.digestInterval);
            messages.push_back({ *link.counterpart, {}, true });
        }
    }
    return messages;
}

void LinkExchanges::heard(const DataCentreName &dataCentre, TimePoint now)
{
    m_links[dataCentre].lastHeard = now;
}

void LinkExchanges::refresh(const DataCentreName &dataCentre, Link &link, const MemberView &view, TimePoint now)
{
    link.nextExchange = now + m_settings.timing.exchangeInterval;
    auto own = namesOf(view.neighbours());
    own.push_back(m_settings.node);
    link.rank = DataCentreLinks::rank(m_settings.node, own, m_settings.dataCentre, dataCentre);
    link.counterpart.reset();
    if (!link.rank) {
        return;
    }
    if (now - link.lastHeard > m_settings.timing.linkTimeout) {
        link.counterpart = anyMember(dataCentre, view);
        return;
    }
    const auto others = namesOf(view.table().reachableMembers(dataCentre, m_settings.node));
    const auto chosen = DataCentreLinks::chosen(others, dataCentre, m_settings.dataCentre);
    if (!chosen.empty()) {
        link.counterpart = endpointOf(*view.table().find(chosen[*link.rank % chosen.size()]));
    }
}

std::optional<GossipEndpoint> LinkExchanges::anyMember(const DataCentreName &dataCentre, const MemberView &view)
{
    // Dead members too: after a long partition the table may know no live one.
    std::vector<GossipEndpoint> candidates;
    for (const auto &[name, member] : view.table().members()) {
        if (member.update.dataCentre == dataCentre) {
            candidates.push_back(endpointOf(member));
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    return candidates[m_random.below(candidates.size())];
}

std::vector<GossipUpdate> LinkExchanges::stateChanges(const MemberView &view, TimePoint since) const
{
    std::vector<GossipUpdate> updates;
    for (const auto &it : view.withdrawalsSince(since)) {
        updates.emplace_back(it);
    }
    for (const auto &[name, member] : view.table().members()) {
        if (member.update.dataCentre != m_settings.dataCentre) {
            continue;
        }
        if (member.changedAt >= since) {
            updates.emplace_back(member.update);
        }
        const auto *upstream = view.table().findUpstream(name);
        if (upstream != nullptr && upstream->stateChangedAt >= since) {
            updates.emplace_back(upstream->record);
        }
    }
    return updates;
}

void LinkExchanges::addLoad(std::vector<GossipUpdate> &updates, const MemberView &view, TimePoint since) const
{
    std::vector<const UpstreamEntry *> changed;
    for (const auto &[name, entry] : view.table().upstreams()) {
        if (entry.record.dataCentre == m_settings.dataCentre && entry.changedAt >= since && entry.stateChangedAt < since) {
            changed.push_back(&entry);
        }
    }
    // Overloaded upstreams first: those are the ones that the other side must avoid.
    std::stable_sort(changed.begin(), changed.end(), [](const auto *a, const auto *b) {
        return a->record.normalAdmittedPercent < b->record.normalAdmittedPercent;
    });
    std::size_t bytes = 0;
    for (const auto *it : changed) {
        bytes += DatagramCodec::updateBytes(it->record);
        if (bytes > LoadBytes) {
            return;
        }
        updates.emplace_back(it->record);
    }
}

void LinkExchanges::addUpdates(std::vector<LinkMessage> &messages, const GossipEndpoint &to, const std::vector<GossipUpdate> &updates) const
{
    const auto room = DatagramCodec::freeBytes(m_settings.node, Exchange{ { ~0ULL, ~0U >> 1, ~0ULL }, {} });
    messages.push_back({ to, {}, false });
    std::size_t bytes = 0;
    std::size_t datagrams = 1;
    for (const auto &it : updates) {
        const auto size = DatagramCodec::updateBytes(it);
        if (bytes + size > room) {
            if (++datagrams > MaximumDatagramsPerExchange) {
                return;
            }
            messages.push_back({ to, {}, false });
            bytes = 0;
        }
        messages.back().updates.push_back(it);
        bytes += size;
    }
}

} // namespace Pimentohollow
