#pragma once

#include "core/clock.h"
#include "core/random.h"
#include "membership/links/linkexchanges.h"
#include "membership/protocol/bytebudget.h"
#include "membership/protocol/membershipevent.h"
#include "membership/protocol/memberview.h"
#include "membership/protocol/probecycle.h"
#include "messages/gossip/datagramcodec.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Pimentohollow
{

/**
 * The membership protocol of one node as a state machine without sockets, threads or wall clock.
 *
 * The owner calls tick() about every 100 ms and receive() for each datagram, then sends takeMessages() and handles
 * takeEvents(). Within the data centre it runs SWIM: one probe per second, three indirect probes, suspicion, and updates
 * on probes and answers; changes of state also go at once to three random members, a bounded number of times. Between
 * data centres see LinkExchanges. Not thread-safe.
 */
class Membership
{
public:
    /** @param clock and @param random must outlive this object */
    Membership(MembershipSettings settings, const Clock &clock, Random &random);
    Membership(const Membership &) = delete;
    Membership &operator=(const Membership &) = delete;

    void tick();
    void receive(const GossipEndpoint &from, const Datagram &datagram);

    std::vector<OutgoingMessage> takeMessages();
    std::vector<MembershipEvent> takeEvents();

    /** Announcement, load and drain of the upstream beside this node. */
    void announceUpstream(const UpstreamAnnouncement &announcement);
    void reportLoad(const UpstreamLoad &load);
    /** This node takes no new work; it stays a member until leave(). */
    void drain();
    /** Announces the end of this process; tick() a few times more so that it is repeated. */
    void leave();

    /** The configuration version that this node has in force; a lower one than before is ignored. */
    void setConfigurationVersion(std::uint64_t version);
    void addWithdrawal(const WithdrawalUpdate &withdrawal);
    void addFingerprint(const FingerprintEntry &entry);
    /** Number of quota shares that this node holds. */
    void setShares(std::uint8_t shares);

    /** After a pause until a peer's versions are known and in force; the node serves nothing meanwhile. */
    bool refreshing() const;

    const MemberUpdate &self() const;
    const MemberTable &table() const;
    VersionSummary versions() const;

private:
    struct Relay {
        GossipEndpoint requester;
        std::uint64_t probe = 0;
        NodeName target;
        TimePoint expires{};
    };
    struct Refresh {
        std::vector<std::uint64_t> probes;
        TimePoint deadline{};
        /** Set by the first answer. */
        std::optional<VersionSummary> needed;
    };

    void detectPause(TimePoint now);
    void checkRefresh(TimePoint now);
    void probe(TimePoint now);
    void gossip(TimePoint now);
    void exchangeWithDataCentres(TimePoint now);
    void contactSeeds(TimePoint now);
    void cleanUp(TimePoint now);

    void handle(const GossipEndpoint &from, const Datagram &datagram, const Ping &message);
    void handle(const GossipEndpoint &from, const Datagram &datagram, const Ack &message);
    void handle(const GossipEndpoint &from, const Datagram &datagram, const IndirectPing &message);
    void handle(const GossipEndpoint &from, const Datagram &datagram, const Exchange &message);
    void handle(const GossipEndpoint &from, const Datagram &datagram, const DataCentreDigest &message);
    template <typename Message>
    void handle(const GossipEndpoint &from, const Datagram &datagram, const Message &message);

    void applyAll(const std::vector<GossipUpdate> &updates);
    void compareVersions(const GossipEndpoint &from, const NodeName &sender, const VersionSummary &theirs);
    void tellSenderItsState(const GossipEndpoint &from, const NodeName &sender);
    void sendTable(const GossipEndpoint &to, const std::vector<TableDigest> &theirs);
    void sendDigest(const GossipEndpoint &to, bool answerWanted);
    std::vector<GossipUpdate> updatesFor(const GossipMessage &message);
    std::vector<const Member *> randomNeighbours(std::size_t count, const NodeName &except = {});
    void send(const GossipEndpoint &to, GossipMessage message);

    MembershipSettings m_settings;
    const Clock &m_clock;
    Random &m_random;
    MemberView m_view;
    ProbeCycle m_probes;
    LinkExchanges m_links;
    ByteBudget m_gossipBudget;
    ByteBudget m_syncBudget;
    std::map<std::uint64_t, Relay> m_relays;
    std::optional<Refresh> m_refresh;
    std::vector<OutgoingMessage> m_messages;
    std::uint64_t m_configurationVersion = 0;
    /** Rounds of gossip that still carry a new version although no update is queued. */
    std::size_t m_versionRounds = 0;
    std::uint64_t m_reportedVersion = 0;
    TimePoint m_reportedVersionAt{};
    TimePoint m_withdrawalsSentAt{};
    TimePoint m_lastTick{};
    TimePoint m_nextGossip{};
    TimePoint m_nextLoadGossip{};
    TimePoint m_nextDigest{};
    TimePoint m_nextSeed{};
    TimePoint m_nextCleanUp{};
};

} // namespace Pimentohollow
