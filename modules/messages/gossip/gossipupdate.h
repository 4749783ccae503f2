#pragma once

#include "core/enumtable.h"
#include "core/names.h"
#include "core/upstreamrecord.h"

#include <cstdint>
#include <string>
#include <variant>

namespace Pimentohollow
{

/** Where a node receives datagrams and calls from other nodes. */
struct NodeAddress {
    /** Numeric IP address. */
    std::string host;
    std::uint16_t gossipPort = 0;
    /** TCP port for calls between nodes. */
    std::uint16_t peerPort = 0;

    bool operator==(const NodeAddress &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(host, gossipPort, peerPort);
    }
};

/** At equal incarnation a later enumerator replaces an earlier one. */
enum class MemberState : std::uint8_t {
    Alive,
    Leaving, ///< drains; takes no new work but still answers
    Suspected,
    Failed,
    Left, ///< announced its end
};

inline constexpr auto MemberStateNames = makeEnumTable<MemberState>({
    { MemberState::Alive, "alive" },
    { MemberState::Leaving, "leaving" },
    { MemberState::Suspected, "suspected" },
    { MemberState::Failed, "failed" },
    { MemberState::Left, "left" },
});

/** What is known about a node's process. Only the node itself raises its incarnation. */
struct MemberUpdate {
    NodeName node;
    DataCentreName dataCentre;
    NodeAddress address;
    MemberState state = MemberState::Alive;
    std::uint64_t incarnation = 0;
    /** Quota shares that the node holds, so that token requests go to nodes that mint. */
    std::uint8_t shares = 0;

    bool operator==(const MemberUpdate &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(node, dataCentre, address, state, incarnation, shares);
    }
};

/** A withdrawn key that may not be recorded in the platform yet. The set only grows. */
struct WithdrawalUpdate {
    std::string keyId;
    /** Signed statement of the operator; checked by the module keys. */
    std::string statement;

    bool operator==(const WithdrawalUpdate &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(keyId, statement);
    }
};

/** Entry about a request that was in flight at a crash. Gossip doesn't interpret the content. */
struct FingerprintEntry {
    std::string fingerprint;
    /** A higher sequence replaces a lower one of the same fingerprint. */
    std::uint64_t sequence = 0;
    std::string content;

    bool operator==(const FingerprintEntry &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(fingerprint, sequence, content);
    }
};

/** One item that is spread by gossip. */
using GossipUpdate = std::variant<MemberUpdate, UpstreamRecord, WithdrawalUpdate, FingerprintEntry>;

} // namespace Pimentohollow
