#pragma once

#include "core/random.h"
#include "membership/protocol/memberview.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace Pimentohollow
{

/** One message to another data centre. */
struct LinkMessage {
    GossipEndpoint to;
    std::vector<GossipUpdate> updates;
    /** Compares the whole tables instead of sending updates. */
    bool digest = false;
};

/**
 * This node's part in the exchange with other data centres: which links it belongs to, with whom it exchanges on each,
 * and what is due. Changes of state go out at once, repeated with the next exchanges; load once per second as far as one
 * datagram holds.
 * @see DataCentreLinks
 */
class LinkExchanges
{
public:
    LinkExchanges(const MembershipSettings &settings, Random &random);

    /** What is due at @p now. @param news whether a state in this data centre changed since the last call */
    std::vector<LinkMessage> due(const MemberView &view, bool news, TimePoint now);

    /** A message came from a member of another data centre. */
    void heard(const DataCentreName &dataCentre, TimePoint now);

private:
    struct Link {
        std::optional<std::size_t> rank;
        std::optional<GossipEndpoint> counterpart;
        TimePoint lastHeard{};
        TimePoint lastSent{};
        TimePoint nextExchange{};
        TimePoint nextDigest{};
    };

    void refresh(const DataCentreName &dataCentre, Link &link, const MemberView &view, TimePoint now);
    std::optional<GossipEndpoint> anyMember(const DataCentreName &dataCentre, const MemberView &view);
    std::vector<GossipUpdate> stateChanges(const MemberView &view, TimePoint since) const;
    void addLoad(std::vector<GossipUpdate> &updates, const MemberView &view, TimePoint since) const;
    void addUpdates(std::vector<LinkMessage> &messages, const GossipEndpoint &to, const std::vector<GossipUpdate> &updates) const;

    const MembershipSettings &m_settings;
    Random &m_random;
    std::map<DataCentreName, Link> m_links;
};

} // namespace Pimentohollow
