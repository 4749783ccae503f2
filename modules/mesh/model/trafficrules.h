#pragma once

#include "core/clock.h"
#include "core/names.h"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace Pimentohollow
{

/** A service that receives a part of a route's traffic. */
struct WeightedService {
    ServiceName service;
    double weight = 1;

    bool operator==(const WeightedService &) const = default;

    template <typename Archive>
    void save(Archive &archive) const
    {
        archive(service, static_cast<std::uint32_t>(weight * WeightScale));
    }

    template <typename Archive>
    void load(Archive &archive)
    {
        std::uint32_t scaled = 0;
        archive(service, scaled);
        weight = scaled / WeightScale;
    }

private:
    /** Weights are serialized as whole thousandths. */
    static constexpr double WeightScale = 1000;
};

/** Rules for the requests of one host and path prefix. */
struct TrafficRoute {
    RouteName name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string prefix;
    /** True if a request may run more than once. */
    bool idempotent = false;
    /** True if requests need no client key. */
    bool isPublic = false;
    /** 0 is the most urgent. */
    std::uint32_t rank = 0;
    /** Maximum number of upstreams to which one request may be sent. */
    std::uint32_t maximumAttempts = 1;
    /** Longest time that a caller waits, in ms; 0 for no limit. */
    std::uint32_t timeoutMilliseconds = 0;
    /** Time in ms within which an answer has its full value to the caller. */
    std::uint32_t objectiveMilliseconds = 0;
    std::vector<WeightedService> services;

    bool operator==(const TrafficRoute &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(name, host, prefix, idempotent, isPublic, rank, maximumAttempts, timeoutMilliseconds, objectiveMilliseconds, services);
    }
};

struct TrafficAccount {
    AccountName name;
    std::vector<std::string> keys;
    /** 0 is the most urgent; NoRank if the account has none of its own. */
    std::uint32_t rank = NoRank;
    /** Fleet-wide rate in thousandths of a request per second; 0 for no limit. */
    std::uint32_t milliRate = 0;
    std::uint32_t burst = 0;

    static constexpr std::uint32_t NoRank = 0x7fffffff;

    bool operator==(const TrafficAccount &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(name, keys, rank, milliRate, burst);
    }
};

/** Limits on the requests and connections of callers. */
struct CallerBounds {
    std::uint32_t headBytes = 16384;
    std::uint32_t bodyBytes = 1 << 20;
    std::uint32_t headMilliseconds = 5000;
    std::uint32_t idleMilliseconds = 15000;

    bool operator==(const CallerBounds &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(headBytes, bodyBytes, headMilliseconds, idleMilliseconds);
    }
};

/** One version of the fleet's configuration, as far as nodes apply it. A node never applies a lower version after a higher one. */
struct TrafficRules {
    std::uint64_t version = 0;
    std::vector<TrafficRoute> routes;
    /** If empty, no client key is required. */
    std::vector<TrafficAccount> accounts;
    CallerBounds bounds;

    bool operator==(const TrafficRules &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(version, routes, accounts, bounds);
    }
};

} // namespace Pimentohollow
