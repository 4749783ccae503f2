#pragma once

#include "core/enumtable.h"
#include "core/names.h"
#include "mesh/model/fleetstore.h"
#include "mesh/model/servicework.h"
#include "mesh/model/trafficrules.h"
#include "messages/call/httpmessages.h"
#include "poison/crashtracker.h"

#include <cereal/types/variant.hpp>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Pimentohollow
{

/** First frame in both directions of a connection between nodes. */
struct HelloFrame {
    DirectoryEntry sender;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(sender);
    }
};

/** Where a call belongs in its tree. */
struct CallOrigin {
    /** The route of the request at the root of the tree. */
    RouteName rootRoute;
    /** Rank of the root; 0 is the most urgent. */
    std::uint32_t rank = 0;
    /** Made by an upstream while it runs another request. */
    bool nested = false;
    /** This request, or one above it in the tree, runs for a second time. */
    bool retry = false;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(rootRoute, rank, nested, retry);
    }
};

/** Asks the node beside an upstream to run a request there. */
struct RunFrame {
    std::uint64_t callId = 0;
    /** The service that the sender expects; an address may have passed to another one. */
    ServiceName service;
    /** The request's own route. */
    RouteName route;
    CallOrigin origin;
    bool idempotent = false;
    /** Time that the caller still waits, in microseconds. */
    std::uint32_t remainingMicroseconds = 0;
    RequestFingerprint fingerprint;
    /** Without the headers that the serving node sets. */
    HttpRequestMessage request;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(callId, service, route, origin, idempotent, remainingMicroseconds, fingerprint, request);
    }
};

/** The caller has left or was answered otherwise. */
struct CancelFrame {
    std::uint64_t callId = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(callId);
    }
};

enum class RunOutcome : std::uint8_t {
    Answered, ///< the upstream's whole answer
    Full, ///< not run: no slot in time
    Leaving, ///< not run: the upstream or its node is leaving or not known yet
    Unreachable, ///< not run: the upstream takes no connection
    Rejected, ///< not run: the upstream itself said so
    Poisonous, ///< not run: requests like this one crashed several upstreams
    Broken, ///< may have run: no whole answer
    TimedOut, ///< may have run: no answer in time
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

/** True if the request has not run and never will. */
constexpr bool neverRan(RunOutcome outcome)
{
    return outcome != RunOutcome::Answered && outcome != RunOutcome::Broken && outcome != RunOutcome::TimedOut;
}

struct RunReply {
    RunOutcome outcome = RunOutcome::Broken;
    /** When it makes sense to come back, in ms; 0 if unknown. */
    std::uint32_t retryAfterMilliseconds = 0;
    /** Only for Answered. */
    HttpResponseMessage response;
    /** What the request and the calls below it took, as far as is known. */
    std::vector<ServiceWork> work;
    /** A call that the upstream made for this request got no success. */
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

/** Load of an upstream as its node sees it. */
struct LoadReport {
    /** New requests are accepted. */
    bool accepting = false;
    std::uint32_t slots = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /** Time that a request waits for a slot, in ms. */
    std::uint32_t waitMilliseconds = 0;
    /** Mean run time, in microseconds; 0 if unknown. */
    std::uint32_t runMicroseconds = 0;
    /** Moving average of how well requests end here, 0 to 255 for the best. */
    std::uint8_t quality = 255;

    bool operator==(const LoadReport &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(accepting, slots, running, waiting, waitMilliseconds, runMicroseconds, quality);
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
    /** Number of the account's name in the sender's list of names, as in the other parts of a status. */
    std::uint32_t account = 0;
    /** Requests per second in tenths, admitted or not. */
    std::uint32_t deciRate = 0;
    /** Requests admitted since the node started. */
    std::uint32_t admitted = 0;
    /** Tokens in tenths that the fleet's bucket lacks to be full, plus one; 0 if it isn't told. */
    std::uint32_t deciDeficit = 0;
    /** In a digest: requests in tenths that may have been admitted since the nodes told their relay. */
    std::uint32_t deciUnreported = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(account, deciRate, admitted, deciDeficit, deciUnreported);
    }
};

/** Slots of a service that the requests at one entry node would keep busy, by rank, in thousandths. */
struct CallTreeDemand {
    std::uint32_t service = 0;
    std::vector<std::uint32_t> milliSlots;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(service, milliSlots);
    }
};

/** Requests and repeats that one node made for a service. */
struct RetryReport {
    std::uint32_t service = 0;
    /** First requests and repeats per second, in tenths. */
    std::uint32_t deciRequests = 0;
    /** Repeats per second that were asked for, in tenths. */
    std::uint32_t deciRetryDemand = 0;
    /** Repeats since the node started. */
    std::uint32_t retries = 0;
    /** Repeats in tenths that the fleet's budget lacks to be full, plus one; 0 if it isn't told. */
    std::uint32_t deciDeficit = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(service, deciRequests, deciRetryDemand, retries, deciDeficit);
    }
};

/**
 * What a node tells the nodes of its data centre several times a second. The first one of a connection holds all accounts and services,
 * with the state of their buckets; the others only those with demand. Names are sent once a connection.
 *
 * Nodes of other data centres get only the load, the versions and the crashes, when a connection opens and when the upstream's state
 * changes; the rest reaches them in digests.
 */
struct StatusFrame {
    /** Names of accounts and services that the sender numbers from now on. */
    std::vector<std::string> names;
    /** Number of the first of them; the others follow. */
    std::uint32_t firstNameIndex = 0;
    std::uint64_t rulesVersion = 0;
    /** The store answers the sender, so that it can follow the store for others. */
    bool watchesStore = false;
    /** The sender has heard the others for long enough to speak for its data centre. */
    bool warmedUp = false;
    LoadReport load;
    std::vector<AccountDemand> accountDemand;
    std::vector<CallTreeDemand> callTreeDemand;
    std::vector<RetryReport> retries;
    std::vector<CrashReport> crashes;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(names, firstNameIndex, rulesVersion, watchesStore, warmedUp, load, accountDemand, callTreeDemand, retries, crashes);
    }
};

/** Load of one node in a digest. */
struct MemberLoad {
    /** Text of the address under which the directory holds the node. */
    std::string peerAddress;
    LoadReport load;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(peerAddress, load);
    }
};

/**
 * What the nodes of a data centre do together. One node of the data centre, its relay, sends it to one node of each other data centre,
 * which passes it on there, so that bytes between data centres grow with their number and not with the square of the nodes.
 */
struct DigestFrame {
    DataCentreName dataCentre;
    /** Address of the relay, as in MemberLoad. */
    std::string relayAddress;
    /** Start of the relay's process. */
    std::uint64_t incarnation = 0;
    /** Grows with each digest of the process. */
    std::uint64_t sequence = 0;
    /** The receiver passes the digest on to the nodes of its data centre. */
    bool forward = false;
    /** Nodes whose sums it holds. */
    std::uint32_t nodeCount = 0;
    /** Those that the relay hears. */
    std::vector<MemberLoad> members;
    /** Sums over the nodes, with all names that they use. The load is not used. */
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

/** Changes of the directory, passed on by a node that watches it in the store. */
struct DirectoryFrame {
    /** In the order of the store. */
    std::vector<DirectoryChange> changes;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(changes);
    }
};

/** Asks whether the connection is alive, or says so. */
struct PingFrame {
    bool wantsAnswer = false;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(wantsAnswer);
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
                               DigestFrame>;

} // namespace Pimentohollow
