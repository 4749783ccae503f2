#pragma once

#include "scenario.h"

#include <map>
#include <vector>

namespace Pimentohollow
{

constexpr Duration WarmUp = std::chrono::seconds(3);
constexpr Duration TriggerLength = std::chrono::seconds(5);
constexpr Duration AfterTrigger = std::chrono::seconds(6);

/** The figures of one run, as reported. */
struct Report {
    /** Whole answers in time during the trigger, as a share of what capacity and demand allow. */
    double goodput = 0;
    /** Time after the trigger until 95 % of the requests succeed again; negative if they don't within the run. */
    double recoverySeconds = 0;
    /** Goodput of the worst-served account during the trigger, as a share of its weighted max-min fair share. */
    double worstServed = 0;
    /** Failed requests of accounts within their rate while the capacity suffices for all rates, as a share of their requests. */
    double wrongfulRefusals = 0;
    /** Time in services for requests that failed, as a share of all time in services during the trigger. */
    double wastedWork = 0;
    /** Important requests shed before a normal one of the same service was started in the same window. */
    std::uint64_t importantLost = 0;
    std::uint32_t mostAttempts = 0;
};

/** Collects what happens in a run; times are relative to the start of the run. */
class Measures
{
public:
    Measures(const Experiment &experiment, std::uint32_t services);

    /** Counts a first sending as demand of the account. */
    void sent(Duration now, std::size_t account, Priority priority);
    /** A caller's request got its whole answer or was given up. */
    void ended(Duration firstSent, Duration now, std::size_t account, bool success);
    void workDone(Duration now, Duration ownTime, bool useful);
    void importantShed(Duration now, std::uint32_t service);
    void normalStarted(Duration now, std::uint32_t service);
    void attempts(std::uint32_t count);

    Report report() const;

private:
    using PerAccount = std::array<double, AccountRates.size()>;
    struct Count {
        std::uint64_t requests = 0;
        std::uint64_t succeeded = 0;
    };

    static bool inTrigger(Duration at);
    /** Time of a request through the whole chain without load. */
    Duration unloadedTime() const;
    /** Whole answers that the bottleneck can give to requests sent during the trigger, before its end. */
    double possible() const;
    /** Demand that could be answered before the end of the trigger. */
    PerAccount demand(Priority priority) const;
    double goodput() const;
    double recovery() const;
    double worstServed() const;
    std::uint64_t importantLost() const;

    Experiment m_experiment;
    /** By time of first sending. */
    std::vector<Count> m_bins;
    /** Of requests sent during the trigger, by priority. */
    std::array<PerAccount, 2> m_demand{};
    PerAccount m_served{};
    Count m_withinRate;
    Duration m_useful{};
    Duration m_wasted{};
    std::vector<std::vector<Duration>> m_importantShed;
    /** Per service and window, the time of the last start of a normal request. */
    std::vector<std::map<std::int64_t, Duration>> m_lastNormalStart;
    std::uint32_t m_mostAttempts = 0;
};

} // namespace Pimentohollow
