#pragma once

#include "membership/protocol/membershipsettings.h"
#include "messages/gossip/gossipmessage.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace Pimentohollow
{

struct MemberJoined {
    MemberUpdate member;
};

/** A known member changed its address, its number of shares, or began to leave. */
struct MemberChanged {
    MemberUpdate member;
};

struct MemberSuspected {
    MemberUpdate member;
};

/**
 * The state tells a failure from an announced end. The owner calls DatagramCodec::forget(), so that a new process with
 * this name is heard even if its incarnation is lower because the wall clock went back.
 */
struct MemberLeft {
    MemberUpdate member;
};

/** A newer record of an upstream. When its node fails or leaves, a record with the state Gone is reported. */
struct UpstreamChanged {
    UpstreamRecord upstream;
};

/** A peer has a higher configuration version; the node pulls the changes from it over TCP. */
struct HigherConfigurationVersion {
    NodeName node;
    NodeAddress address;
    std::uint64_t version = 0;
};

struct WithdrawalsReceived {
    std::vector<WithdrawalUpdate> withdrawals;
};

struct FingerprintReceived {
    FingerprintEntry entry;
};

/** The process was paused: versions have to be refreshed before the node serves again. @see VersionsRefreshed */
struct RefreshRequired {
    Duration pause{};
};

/** The versions known now are current, or no peer answered in time. */
struct VersionsRefreshed {
    bool peerAnswered = false;
};

using QuotaMessage = std::variant<TokenRequest, TokenGrant, ShareRequest, ShareGrant>;

/** A message for the module quota. */
struct QuotaMessageReceived {
    NodeName sender;
    GossipEndpoint from;
    QuotaMessage message;
};

using MembershipEvent = std::variant<MemberJoined,
                                     MemberChanged,
                                     MemberSuspected,
                                     MemberLeft,
                                     UpstreamChanged,
                                     HigherConfigurationVersion,
                                     WithdrawalsReceived,
                                     FingerprintReceived,
                                     RefreshRequired,
                                     VersionsRefreshed,
                                     QuotaMessageReceived>;

struct OutgoingMessage {
    GossipEndpoint to;
    GossipMessage message;
};

} // namespace Pimentohollow
