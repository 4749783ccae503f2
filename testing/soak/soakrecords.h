#pragma once

#include "core/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Pimentohollow::Soak
{

/** A request of a client and what came of it. */
struct SentRequest {
    std::string id;
    std::string method;
    std::string target;
    std::size_t node = 0;
    TimePoint sentAt{};
    TimePoint endedAt{};
    /** Nothing if no whole answer came. */
    std::optional<std::uint16_t> status;
    /** Id and body are those of the request, and a success bears an upstream's stamp. */
    bool answerFits = true;
    /** Why no answer came. */
    std::string error;
};

/** A run at an upstream. */
struct RecordedRun {
    std::string id;
    std::string account;
    /** The upstream's id, which changes when one takes another's place. */
    std::string upstream;
    TimePoint startedAt{};
};

struct TimeSpan {
    TimePoint from{};
    TimePoint to{};
};

/** A version of the rules, and whether it has the route /extra/. */
struct PublishedRules {
    std::uint64_t version = 0;
    TimePoint at{};
    bool hasExtra = false;
};

/** Rate and burst of an account. */
struct AccountBound {
    double rate = 0;
    double burst = 0;
};

/** Everything that clients, upstreams and the operator saw in one run. */
struct SoakRecords {
    std::vector<SentRequest> requests;
    std::vector<RecordedRun> runs;
    std::vector<PublishedRules> rules;
    /** When an upstream's leaving was acknowledged. */
    std::map<std::string, TimePoint> leftAt;
    /** By node: paused, killed, stopping, or starting again. */
    std::map<std::size_t, std::vector<TimeSpan>> disturbed;
    std::vector<TimeSpan> storeDisturbed;
    std::map<std::string, AccountBound> accounts;
    /** Processes that ended without having been told to, or not as they should. */
    std::vector<std::string> badEnds;
};

} // namespace Pimentohollow::Soak
