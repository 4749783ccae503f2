#pragma once

#include "membership/protocol/membershipevent.h"
#include "membership/protocol/updatequeue.h"
#include "membership/table/membertable.h"
#include "membership/table/withdrawalset.h"
#include "membership/upstream/localupstream.h"

#include <map>
#include <string>
#include <vector>

namespace Pimentohollow
{

/**
 * This node's view of the fleet and of itself: merges updates, reports what changed as events, queues news for others,
 * objects to false statements about this node, and turns suspicions into failures.
 */
class MemberView
{
public:
    explicit MemberView(const MembershipSettings &settings);

    void apply(const GossipUpdate &update, TimePoint now);

    /** Suspects a member that answered no probe. */
    void suspect(const NodeName &node, TimePoint now);

    /** Declares members failed whose suspicion wasn't contradicted in time. */
    void expireSuspicions(TimePoint now);

    /** Gives suspected members the time back during which this process couldn't hear their objection. */
    void extendSuspicions(Duration pause);

    /** Forgets old tombstones. */
    std::vector<NodeName> removeDead(TimePoint limit);

    /** Publishes this node again with a higher incarnation. */
    void raiseIncarnation(TimePoint now);
    void setShares(std::uint8_t shares, TimePoint now);
    void setOwnState(MemberState state, TimePoint now);
    void setUpstream(const std::optional<UpstreamRecord> &record, TimePoint now);

    const MemberUpdate &self() const;
    const MemberTable &table() const;
    LocalUpstream &localUpstream();
    WithdrawalSet &withdrawals();
    const WithdrawalSet &withdrawals() const;
    UpdateQueue &queue();

    /** Withdrawals learned since @p since, for the links. */
    std::vector<WithdrawalUpdate> withdrawalsSince(TimePoint since) const;

    /** Other members of this data centre to which messages may be sent. */
    std::vector<const Member *> neighbours() const;

    /** True once after each change of state in this data centre, so that the links pass it on at once. */
    bool takeLinkNews();

    std::vector<MembershipEvent> takeEvents();
    void report(MembershipEvent event);

private:
    void applyMember(const MemberUpdate &update, TimePoint now);
    void applyUpstream(const UpstreamRecord &record, TimePoint now);
    void applyWithdrawal(const WithdrawalUpdate &withdrawal, TimePoint now);
    void applyFingerprint(const FingerprintEntry &entry, TimePoint now);
    void object(const MemberUpdate &update, TimePoint now);
    void publishSelf(TimePoint now);
    void reportMember(const MemberUpdate &update, const Member *before);
    void reportUpstreamOf(const NodeName &node, bool reachable);

    const MembershipSettings &m_settings;
    MemberUpdate m_self;
    MemberTable m_table;
    LocalUpstream m_localUpstream;
    WithdrawalSet m_withdrawals;
    UpdateQueue m_queue;
    std::map<NodeName, TimePoint> m_suspicions;
    struct Recent {
        WithdrawalUpdate withdrawal;
        TimePoint at;
    };
    std::vector<Recent> m_recentWithdrawals;
    struct FingerprintMemory {
        std::uint64_t sequence = 0;
        TimePoint seenAt{};
    };
    std::map<std::string, FingerprintMemory> m_fingerprints;
    std::vector<MembershipEvent> m_events;
    bool m_linkNews = false;
};

} // namespace Pimentohollow
