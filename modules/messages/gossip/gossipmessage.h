#pragma once

#include "messages/gossip/gossipupdate.h"

#include <optional>
#include <variant>
#include <vector>

namespace Pimentohollow
{

/** What the sender has; a receiver that has less asks for it. */
struct VersionSummary {
    std::uint64_t configurationVersion = 0;
    std::uint32_t withdrawalCount = 0;
    /** Independent of the order in which the withdrawals arrived. */
    std::uint64_t withdrawalDigest = 0;

    bool operator==(const VersionSummary &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(configurationVersion, withdrawalCount, withdrawalDigest);
    }
};

/** SWIM probe. */
struct Ping {
    std::uint64_t probe = 0;
    /** Name of the node that is meant; another process at the address doesn't answer. */
    NodeName target;
    VersionSummary versions;
    std::vector<GossipUpdate> updates;

    bool operator==(const Ping &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(probe, target, versions, updates);
    }
};

/** Answer to a Ping, or to an IndirectPing whose target answered. */
struct Ack {
    std::uint64_t probe = 0;
    /** The node that is alive; differs from the sender after an indirect probe. */
    NodeName target;
    VersionSummary versions;
    std::vector<GossipUpdate> updates;

    bool operator==(const Ack &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(probe, target, versions, updates);
    }
};

/** Asks the receiver to probe @ref target, which didn't answer the sender. */
struct IndirectPing {
    std::uint64_t probe = 0;
    NodeName target;
    NodeAddress address;

    bool operator==(const IndirectPing &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(probe, target, address);
    }
};

/** Updates without a probe: urgent ones, exchanges between data centres, and the answer to a digest. */
struct Exchange {
    VersionSummary versions;
    std::vector<GossipUpdate> updates;

    bool operator==(const Exchange &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(versions, updates);
    }
};

/** Digest of the members and upstream states of one data centre. */
struct TableDigest {
    DataCentreName dataCentre;
    std::uint64_t digest = 0;

    bool operator==(const TableDigest &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(dataCentre, digest);
    }
};

/** Compares whole tables; the receiver sends its records of each data centre whose digest differs or isn't listed. */
struct DataCentreDigest {
    MemberUpdate sender;
    VersionSummary versions;
    std::vector<TableDigest> tables;
    /** Set in the first of the two messages, so that both sides end with the same table. */
    bool answerWanted = false;

    bool operator==(const DataCentreDigest &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(sender, versions, tables, answerWanted);
    }
};

/** Asks for tokens of an account, and for a loan of the right to mint. Amounts are in millionths of a token. */
struct TokenRequest {
    std::uint64_t request = 0;
    AccountName account;
    std::uint64_t tokens = 0;
    /** Per second. */
    std::uint64_t rate = 0;
    /** A request waits for the token: the giver lends one even of those that it keeps for its own demand. */
    bool waiting = false;

    bool operator==(const TokenRequest &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(request, account, tokens, rate, waiting);
    }
};

/** Answer to a TokenRequest. The giver stopped using all of it before it sent this. */
struct TokenGrant {
    std::uint64_t request = 0;
    AccountName account;
    std::uint64_t tokens = 0;
    /** Loan of minting, in millionths of a token per second. */
    std::uint64_t rate = 0;
    /** Loan of bucket capacity; at least @ref tokens. */
    std::uint64_t capacity = 0;
    /** Length of the loan, which the taker counts from its request. */
    std::uint32_t loanMilliseconds = 0;
    /** The loan takes the place of the giver's earlier one to the same taker, which was not greater. */
    bool extends = false;
    /** Sent by the taker, which no longer needs the loan that it got with @ref request; @ref tokens go back with it. */
    bool returns = false;

    bool operator==(const TokenGrant &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(request, account, tokens, rate, capacity, loanMilliseconds, extends, returns);
    }
};

/** Asks a leaving or overfull node to hand over quota shares. */
struct ShareRequest {
    std::uint64_t request = 0;
    std::uint8_t count = 0;

    bool operator==(const ShareRequest &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(request, count);
    }
};

/** Hands over shares; the giver stopped using them before it sent this. The taker owns them once its write is confirmed. */
struct ShareGrant {
    std::uint64_t request = 0;
    /** Incarnation under which the giver is named in the platform's row. */
    std::uint64_t incarnation = 0;
    std::vector<std::uint8_t> shares;

    bool operator==(const ShareGrant &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(request, incarnation, shares);
    }
};

/** Everything that nodes send each other by UDP. */
using GossipMessage = std::variant<Ping, Ack, IndirectPing, Exchange, DataCentreDigest, TokenRequest, TokenGrant, ShareRequest, ShareGrant>;

} // namespace Pimentohollow
