#pragma once

#include "core/enumtable.h"
#include "core/names.h"
#include "mesh/model/fleetstore.h"
#include "mesh/model/servicework.h"
#include "mesh/model/trafficrules.h"
#include "mesh/model/upstreamnotice.h"
#include "messages/call/httpmessages.h"
#include "poison/crashtracker.h"

#include <cereal/types/variant.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Pimentohollow
{

/** First frame in both directions of a connection between nodes. */
struct HelloFrame {
    DirectoryEntry sender;
    /** What the sender keeps of the receiver's upstream. Precedes all requests, so that none outruns it after a restart of the receiver. */
    UpstreamNotice receiverUpstream;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(sender, receiverUpstream);
    }
};

/** Position of a call in its call tree. */
struct CallOrigin {
    /** Route of the request at the root of the call tree. */
    RouteName rootRoute;
    /** Rank of the root request; 0 is the most urgent. */
    std::uint32_t rank = 0;
    /** True if an upstream made the call while running another request. */
    bool nested = false;
    /** True if this request, or an ancestor in the call tree, is a retry after an attempt that may already have run. */
    bool retry = false;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(rootRoute, rank, nested, retry);
    }
};

/** Requests that the receiving node run a request on its upstream. */
struct RunFrame {
    std::uint64_t callId = 0;
    /** Service that the sender expects; the address may have been reassigned to another service. */
    ServiceName service;
    /** Route of the request itself, which may differ from that of the root request. */
    RouteName route;
    CallOrigin origin;
    bool idempotent = false;
    /** Time left until the caller's deadline, in microseconds. */
    std::uint32_t remainingMicroseconds = 0;
    RequestFingerprint fingerprint;
    /** Excludes the headers that the serving node sets. */
    HttpRequestMessage request;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(callId, service, route, origin, idempotent, remainingMicroseconds, fingerprint, request);
    }
};

/** Cancels a call whose caller has disconnected or has already received a response. */
struct CancelFrame {
    std::uint64_t callId = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(callId);
    }
};

enum class RunOutcome : std::uint8_t {
    Answered, ///< the upstream's complete response
    Full, ///< not run: no slot became free in time
    Leaving, ///< not run: the upstream or its node is shutting down, or the upstream isn't known yet
    Unreachable, ///< not run: the upstream accepts no connection
    Rejected, ///< not run: the upstream reported that it did not run the request
    Poisonous, ///< not run: requests with this fingerprint crashed several upstreams
    Broken, ///< may have run: no complete response
    TimedOut, ///< may have run: no response in time
};

inline constexpr auto RunOutcomeNames = makeEnumTable<RunOutcome>({
    { RunOutcome::Answered, "answered" },
    { RunOutcome::Full, "full" },
    { RunOutcome::Leaving, "leaving" },
    { RunOutcome::Unreachable, "unreachable" },
    { RunOutcome::Rejected, "rejected" },
    { RunOutcome::Poisonous, "poisonous" },
    { RunOutcome::Broken, "broken" },
    { RunOutcome::TimedOut, "timed_out" },
});

/** True if the request has not run and will not run. */
constexpr bool neverRan(RunOutcome outcome)
{
    return outcome != RunOutcome::Answered && outcome != RunOutcome::Broken && outcome != RunOutcome::TimedOut;
}

struct RunReply {
    RunOutcome outcome = RunOutcome::Broken;
    /** Delay after which the caller may retry, in ms; 0 if unknown. */
    std::uint32_t retryAfterMilliseconds = 0;
    /** Set only for Answered. */
    HttpResponseMessage response;
    /** Known run times of the request and its nested calls, by service. */
    std::vector<ServiceWork> work;
    /** True if a call that the upstream made for this request failed. */
    bool callFailed = false;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(outcome, retryAfterMilliseconds, response, work, callFailed);
    }
};

inline RunReply replyWithoutResponse(RunOutcome outcome, std::uint32_t retryAfterMilliseconds = 0)
{
    return { outcome, retryAfterMilliseconds, {}, {}, false };
}

/** Load of an upstream as measured by its node. */
struct LoadReport {
    /** True if the upstream accepts new requests. */
    bool accepting = false;
    /** Slots that can be kept busy, within the limit that the upstream may have named. */
    std::uint32_t slots = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /** Time a request waits for a slot, in ms. */
    std::uint32_t waitMilliseconds = 0;
    /** Mean run time, in microseconds; 0 if unknown. */
    std::uint32_t runMicroseconds = 0;
    /** Moving average of the request outcomes; 0 is the worst, 255 the best. */
    std::uint8_t quality = 255;
    /** What the other nodes keep for this one. */
    UpstreamNotice notice;

    bool operator==(const LoadReport &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(accepting, slots, running, waiting, waitMilliseconds, runMicroseconds, quality, notice);
    }
};

struct RunReplyFrame {
    std::uint64_t callId = 0;
    RunReply result;
    LoadReport load;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(callId, result, load);
    }
};

/** Demand of one client account at one node. */
struct AccountDemand {
    /** Index of the account's name in the sender's name table, as in all reports of a status. */
    std::uint32_t account = 0;
    /** Requests per second, admitted or not, in tenths. */
    std::uint32_t deciRate = 0;
    /** Requests admitted since the node started. */
    std::uint32_t admitted = 0;
    /** Deficit of the fleet's token bucket in tenths of a token, plus one; 0 if not reported. */
    std::uint32_t deciDeficit = 0;
    /** Only in a digest: requests, in tenths, that may have been admitted since the nodes last reported to their relay. */
    std::uint32_t deciUnreported = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(account, deciRate, admitted, deciDeficit, deciUnreported);
    }
};

/** Slots of a service that the call trees of one entry node's requests would occupy. */
struct CallTreeDemand {
    /** Index of the service's name. */
    std::uint32_t service = 0;
    /** Slots by rank, in thousandths. */
    std::vector<std::uint32_t> milliSlots;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(service, milliSlots);
    }
};

/** Requests and retries that one node sent to a service. */
struct RetryReport {
    /** Index of the service's name. */
    std::uint32_t service = 0;
    /** First attempts and retries per second, in tenths. */
    std::uint32_t deciRequests = 0;
    /** Retries per second that were requested, granted or not, in tenths. */
    std::uint32_t deciRetryDemand = 0;
    /** Retries since the node started. */
    std::uint32_t retries = 0;
    /** Deficit of the fleet's retry budget in tenths of a retry, plus one; 0 if not reported. */
    std::uint32_t deciDeficit = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(service, deciRequests, deciRetryDemand, retries, deciDeficit);
    }
};

/**
 * State that a node sends to the nodes of its data centre several times a second. The initial status of a connection covers all accounts
 * and services, with the state of their buckets; later ones cover only those with demand. Each name is sent once per connection.
 *
 * Nodes of other data centres receive only the load, the versions and the crashes: when a connection opens, when the upstream's state
 * changes and when there are new crash reports. Digests carry the rest to them.
 */
struct StatusFrame {
    /** Names of accounts and services that the sender adds to its name table. */
    std::vector<std::string> names;
    /** Index of the first of these names; the others have consecutive indices. */
    std::uint32_t firstNameIndex = 0;
    std::uint64_t rulesVersion = 0;
    /** Time in ms since the store confirmed that there are no rules newer than rulesVersion. Not used in a digest. */
    std::uint32_t rulesConfirmedMillisecondsAgo = 0;
    /** Newest era of the store that the sender knows. */
    StoreEra storeEra = 0;
    /** True if the sender reaches the store, so that it can watch the store for other nodes. */
    bool watchesStore = false;
    /** True if the sender has received statuses for long enough to report for its data centre. */
    bool warmedUp = false;
    LoadReport load;
    std::vector<AccountDemand> accountDemand;
    std::vector<CallTreeDemand> callTreeDemand;
    std::vector<RetryReport> retries;
    std::vector<CrashReport> crashes;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(names,
                firstNameIndex,
                rulesVersion,
                rulesConfirmedMillisecondsAgo,
                storeEra,
                watchesStore,
                warmedUp,
                load,
                accountDemand,
                callTreeDemand,
                retries,
                crashes);
    }
};

/** Load of one node in a digest. */
struct MemberLoad {
    /** Text of the node's peer address, its key in the directory. */
    std::string peerAddress;
    LoadReport load;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(peerAddress, load);
    }
};

/**
 * Aggregated state of the nodes of a data centre. One node of the data centre, its relay, sends it to one node of each other data centre,
 * which forwards it there, so that the traffic between data centres grows with their number and not with the square of the node count.
 */
struct DigestFrame {
    DataCentreName dataCentre;
    /** Text of the relay's peer address, as in MemberLoad. */
    std::string relayAddress;
    /** Start time of the relay's process, in ms since the epoch. */
    std::uint64_t incarnation = 0;
    /** Increases with each digest of the process. */
    std::uint64_t sequence = 0;
    /** True if the receiver must forward the digest to the nodes of its data centre. */
    bool forward = false;
    /** Number of nodes that the sums cover. */
    std::uint32_t nodeCount = 0;
    /** The relay and the nodes that it can reach in its data centre. */
    std::vector<MemberLoad> members;
    /** Sums over the nodes, with all names they refer to. The load field is unused. */
    StatusFrame sums;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(dataCentre, relayAddress, incarnation, sequence, forward, nodeCount, members, sums);
    }
};

struct RulesRequestFrame {
    template <typename Archive>
    void serialize(Archive & /*archive*/)
    {
    }
};

struct RulesFrame {
    TrafficRules rules;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(rules);
    }
};

/** Directory changes, forwarded by a node that watches the directory in the store. */
struct DirectoryFrame {
    /** In store order. */
    std::vector<DirectoryChange> changes;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(changes);
    }
};

/** Checks that a connection is alive, or replies to such a check. */
struct PingFrame {
    bool wantsAnswer = false;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(wantsAnswer);
    }
};

/**
 * Asks a node to keep a notice of the sender's upstream, which the sender can't write to the store, or answers with what the sender keeps
 * of the receiver's upstream.
 */
struct UpstreamNoticeFrame {
    UpstreamNotice notice;
    bool wantsAnswer = false;
    /** The era in which the sender has added the departures to the receiver's entry in the store; nothing if it hasn't. */
    std::optional<StoreEra> storedIn;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(notice, wantsAnswer, storedIn);
    }
};

using MeshFrame = std::variant<HelloFrame,
                               RunFrame,
                               CancelFrame,
                               RunReplyFrame,
                               StatusFrame,
                               RulesRequestFrame,
                               RulesFrame,
                               PingFrame,
                               DirectoryFrame,
                               DigestFrame,
                               UpstreamNoticeFrame>;

} // namespace Pimentohollow
