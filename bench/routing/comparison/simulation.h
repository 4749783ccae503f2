#pragma once

#include "strategy.h"

#include "core/enumtable.h"

#include <deque>
#include <memory>
#include <queue>
#include <vector>

namespace Pimentohollow::Bench
{

/** What is wrong with the first upstream from Simulation::FaultStart on. */
enum class FaultKind {
    None,
    Slow, ///< each request takes five times as long
    Silent, ///< accepts requests and never answers
    FailingFast, ///< answers with an error after 1 ms, which makes it look idle
    Cold, ///< restarted: five times as slow at first, warm with a time constant of 3 s
};

inline constexpr auto FaultNames = makeEnumTable<FaultKind>({
    { FaultKind::None, "none" },
    { FaultKind::Slow, "one slow" },
    { FaultKind::Silent, "one silent" },
    { FaultKind::FailingFast, "one failing fast" },
    { FaultKind::Cold, "one cold" },
});

struct Scenario {
    std::size_t upstreams = 4;
    std::uint32_t slots = 30;
    FaultKind fault = FaultKind::None;
    /** Records are published at this interval and arrive as old. */
    Duration lag{};
    StrategyKind strategy = StrategyKind::TwoChoices;
    /** Demand as a share of the capacity of all upstreams. */
    double demand = 0.7;
};

struct Outcome {
    std::size_t requests = 0;
    std::size_t complete = 0;
    Duration median{};
    Duration p99{};
};

/**
 * Discrete-event simulation of entry nodes, one per upstream, that send requests to the upstreams of one service.
 * A request has a deadline of 1 s and one retry; an attempt ends after 500 ms. Upstreams have slots and a queue of a quarter
 * of their slots; beyond that they refuse. Deterministic for a seed.
 */
class Simulation
{
public:
    static constexpr Duration FaultStart = std::chrono::seconds(2);
    static constexpr Duration Length = std::chrono::seconds(10);
    static constexpr Duration AttemptTimeout = std::chrono::milliseconds(500);
    static constexpr Duration Deadline = std::chrono::seconds(1);
    /** Mean of the exponential service times. */
    static constexpr Duration ServiceTime = std::chrono::milliseconds(20);
    static constexpr std::size_t MostAttempts = 2;

    Simulation(const Scenario &scenario, std::uint64_t seed);

    Outcome run();

private:
    enum class EventKind {
        Arrival,
        Finish,
        Timeout,
        Publish,
        Deliver,
    };

    struct Event {
        Duration time{};
        std::uint64_t order = 0;
        EventKind kind = EventKind::Arrival;
        std::size_t request = 0;
        std::size_t attempt = 0;
        std::size_t server = 0;

        bool operator<(const Event &other) const
        {
            // The priority queue returns the largest element, which must be the earliest event.
            return std::pair(other.time, other.order) < std::pair(time, order);
        }
    };

    struct Request {
        Duration arrival{};
        std::size_t entry = 0;
        /** Number of attempts so far; an event with another number belongs to an attempt that is over. */
        std::size_t attempt = 0;
        std::size_t server = 0;
        Duration attemptStart{};
        bool waiting = false;
        std::vector<NodeName> tried;
    };

    struct Server {
        std::uint32_t busy = 0;
        std::deque<std::size_t> queue;
        UpstreamRecord record;
        std::deque<UpstreamRecord> inTransit;
    };

    void push(Duration time, EventKind kind, std::size_t request, std::size_t attempt, std::size_t server);
    void handle(const Event &event);
    void arrive();
    void attempt(std::size_t id);
    void serve(std::size_t id);
    void startNext(Server &server);
    void end(std::size_t id, AnswerKind kind);
    void publish(std::size_t server);
    Duration serviceTime(std::size_t server);
    bool isFaulty(std::size_t server) const;
    Outcome summary();

    Scenario m_scenario;
    ManualClock m_clock;
    Duration m_now{};
    Random m_random;
    std::uint64_t m_order = 0;
    std::priority_queue<Event> m_events;
    std::vector<Request> m_requests;
    std::vector<Server> m_servers;
    std::vector<std::unique_ptr<Strategy>> m_entries;
    std::vector<Duration> m_latencies;
    std::size_t m_counted = 0;
};

} // namespace Pimentohollow::Bench
