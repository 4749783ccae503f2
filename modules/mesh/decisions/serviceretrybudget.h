#pragma once

#include "mesh/decisions/accountratelimiter.h"
#include "mesh/model/servicework.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Pimentohollow
{

/** Repeats that a service may get, over the whole fleet. */
struct ServiceRetryBudgetSettings {
    /** Repeats for each request in a window. */
    double ratio = 0.2;
    /** Repeats in a window whatever the requests. */
    double slack = 50;
    Duration window = std::chrono::seconds(10);
};

/** What one node did for one service. */
struct ServiceRetryUsage {
    ServiceName service;
    /** Requests per second, first ones and repeats. */
    double requests = 0;
    /** Repeats per second that were asked for, granted or not. */
    double demand = 0;
    /** Repeats since the node started, those of subtrees included. */
    std::uint32_t retries = 0;
    /** Repeats that the fleet's budget lacks to be full. Only in a snapshot, as in AccountSpending. */
    std::optional<double> deficit = std::nullopt;
};

/** Calls that one request of a route brings to a service, on average. */
struct ServiceCalls {
    ServiceName service;
    double calls = 0;
};

/**
 * Keeps the repeats that each service gets from all nodes together within the fleet's budget, with what the nodes tell each other.
 *
 * A repeat of a request that makes calls repeats its whole callTree, so it is granted only if all services of the callTree have room for
 * their part; the calls are charged where they enter, without being asked.
 *
 * The load it answers: upstreams beside a few nodes fail half of their requests. All repeats come from those nodes, which a fixed part of
 * the budget for each node would leave without any, while repeats at each level of the trees add up at the services below. Not thread-safe,
 * no clock.
 */
class ServiceRetryBudget
{
public:
    ServiceRetryBudget(const ServiceRetryBudgetSettings &settings, TimePoint startedAt);

    /** @param nodes known to the directory, this one included */
    void setNodes(std::size_t nodes);
    /** How often nodes report. */
    void setReportInterval(Duration interval);
    /** Takes what another node reported; its first report must be its snapshot(). */
    void applyReport(const Reporter &reporter, const std::vector<ServiceRetryUsage> &services, TimePoint now);
    /** Drops a reporter whose place another one has taken. */
    void forgetReporter(const NodeName &name);
    /** What the nodes of the own data centre did together, with the state of the budgets. */
    std::vector<ServiceRetryUsage> dataCentreReport(TimePoint now);
    /** As AccountAllowance::dataCentreReportIsUrgent(). */
    bool dataCentreReportIsUrgent() const
    {
        return m_retryLimiter.dataCentreReportIsUrgent();
    }
    /** What this node did, for the others; services without requests are left out. */
    std::vector<ServiceRetryUsage> takeReport(TimePoint now);
    /** All services with the state of their budgets, for a node that hears this one for the first time. */
    std::vector<ServiceRetryUsage> snapshot(TimePoint now) const;
    /** So much was spent since the last report that the others should know at once. */
    bool reportIsUrgent() const
    {
        return m_retryLimiter.reportIsUrgent();
    }

    void recordRequest(const ServiceName &service, TimePoint now);
    /**
     * Takes the right to one repeat; false if there is none. Less urgent ranks leave a part of the budget to the more urgent ones: when an
     * upstream rejects half of its requests, repeats for large, less urgent trees would use up all and still save few of them.
     * @param rank 0 is the most urgent
     * @param callTree calls that the request makes again, by service; @p service itself is ignored there
     */
    bool tryAcquireRetry(const ServiceName &service, std::uint32_t rank, const std::vector<ServiceCalls> &callTree, TimePoint now);
    /** Counts a repeat that can't be avoided: a call of a request that itself runs again. */
    void charge(const ServiceName &service, TimePoint now);

private:
    struct RequestRate {
        /** Requests per second at this node, a moving average over the window. */
        double perSecond = 0;
        TimePoint updatedAt{};
    };
    struct PeerRates {
        TimePoint lastReportAt{};
        bool sameDataCentre = true;
        std::unordered_map<ServiceName, double> rates;
    };

    double decayedRate(const RequestRate &requests, TimePoint now) const;
    double ownRate(const ServiceName &service, TimePoint now);
    /** Requests per second at other nodes. @param includeOtherDataCentres false: only those of the own data centre */
    double peerRate(const ServiceName &service, bool includeOtherDataCentres, TimePoint now) const;
    AccountLimit limitOf(const ServiceName &service, TimePoint now);
    bool hasHeadroom(const ServiceName &service, double calls, double reservedFraction, TimePoint now);

    ServiceRetryBudgetSettings m_settings;
    /** Counts repeats as if each service were a client account: the same exchange keeps both within their rates. */
    AccountRateLimiter m_retryLimiter;
    std::unordered_map<ServiceName, RequestRate> m_requestRates;
    std::unordered_map<NodeName, PeerRates> m_peerRates;
};

} // namespace Pimentohollow
