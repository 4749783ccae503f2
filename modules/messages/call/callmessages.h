#pragma once

#include "core/names.h"
#include "core/refusal.h"
#include "core/requestcontext.h"
#include "core/upstreamrecord.h"
#include "messages/call/httpmessages.h"

#include <cereal/types/chrono.hpp>
#include <cereal/types/variant.hpp>
#include <optional>
#include <variant>

namespace Pimentohollow
{

template <typename Archive>
void serialize(Archive &archive, Refusal &refusal)
{
    archive(refusal.reason, refusal.ran, refusal.retryAfter, refusal.detail);
}

/** First message in both directions of a link; the nonces bind all later frames to this link. */
struct Hello {
    NodeName node;
    /** Random per process, so that a restarted node can't be taken for the one that ran a call. */
    std::uint64_t incarnation = 0;
    std::string nonce;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(node, incarnation, nonce);
    }
};

/** Asks the serving node to run one attempt of a request. */
struct CallRequest {
    /** Unique on its link. */
    std::uint64_t callId = 0;
    /** Unique in the fleet, so that the outcome can be asked for over another link. */
    std::string attemptId;
    std::string requestId;
    AccountName account;
    ServiceName service;
    RouteName route;
    Priority priority = Priority::Normal;
    bool idempotent = false;
    /** Time left until the deadline; clocks of nodes aren't compared. */
    std::chrono::microseconds remaining{};
    std::uint32_t retriesLeft = 0;
    std::uint32_t depth = 0;
    /** Empty if the caller sent none. */
    std::string idempotencyKey;
    HttpRequestMessage request;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(callId,
                attemptId,
                requestId,
                account,
                service,
                route,
                priority,
                idempotent,
                remaining,
                retriesLeft,
                depth,
                idempotencyKey,
                request);
    }
};

/** How an attempt ended: the upstream's complete answer, or why there is none. */
using CallResult = std::variant<HttpResponseMessage, Refusal>;

struct CallResponse {
    std::uint64_t callId = 0;
    CallResult result;
    /** Retries that the chain below left unspent. */
    std::uint32_t retriesLeft = 0;
    /** The serving node's upstream, as fresh load information for the entry node. */
    std::optional<UpstreamRecord> upstream;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        bool present = upstream.has_value();
        archive(callId, result, retriesLeft, present);
        if (present) {
            if (!upstream) {
                upstream.emplace();
            }
            archive(*upstream);
        }
    }
};

/** The caller is gone or the deadline has passed; there will be no use for the answer. */
struct CancelCall {
    std::uint64_t callId = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(callId);
    }
};

/**
 * Asks for the outcome of an attempt whose link broke; answered with a CallResponse.
 * The serving node first stops reading the broken link, so that "not run" stays true for an attempt it hasn't seen.
 */
struct OutcomeRequest {
    std::uint64_t callId = 0;
    std::string attemptId;
    /** The process that was asked to run the attempt; another incarnation knows nothing about it. */
    std::uint64_t incarnation = 0;
    /** The nonce with which the asking side opened the broken link. */
    std::string brokenLink;
    /** Time since the attempt was sent; the serving node remembers attempts for a limited time only. */
    std::chrono::microseconds age{};

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(callId, attemptId, incarnation, brokenLink, age);
    }
};

} // namespace Pimentohollow
