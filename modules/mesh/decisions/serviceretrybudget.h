#pragma once

#include "mesh/decisions/accountratelimiter.h"
#include "mesh/decisions/retryrateplan.h"
#include "mesh/model/servicework.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Pimentohollow
{

/** Limits on the retries sent to a service by the whole fleet. */
struct ServiceRetryBudgetSettings {
    /** Retries allowed per request in a window. */
    double ratio = 0.2;
    /** Retries allowed in a window regardless of the number of requests. */
    double slack = 50;
    Duration window = std::chrono::seconds(10);
};

/** Requests and retries that one node sent to a service. */
struct ServiceRetryUsage {
    ServiceName service;
    /** Requests per second, retries included. */
    double requests = 0;
    /** Requested retries per second, granted or not. */
    double demand = 0;
    /** Retries since the node started, including the nested calls of retried requests. */
    std::uint32_t retries = 0;
    /** Retries that the fleet's budget lacks to be full. Set only in a snapshot or in the report of a data centre, as in AccountUsage. */
    std::optional<double> deficit = std::nullopt;
};

/** Mean number of calls to a service that one request of a route causes. */
struct ServiceCalls {
    ServiceName service;
    double calls = 0;
};

/**
 * Keeps the retries that all nodes together send to each service within the fleet's budget, based on the reports that nodes exchange.
 *
 * Retrying a request that makes nested calls repeats its whole call tree. A retry is therefore granted only if all services of the call
 * tree have headroom for their part. The nested calls are charged where they enter, without a check.
 *
 * Designed for upstreams beside a few nodes that fail half of their requests. All retries then come from those nodes; a fixed part of the
 * budget for each node would leave them without any, and retries at each level of the call trees would add up at the services below. Not
 * thread-safe; the caller passes the time.
 */
class ServiceRetryBudget
{
public:
    ServiceRetryBudget(const ServiceRetryBudgetSettings &settings, TimePoint startedAt);

    /** @param nodes number of nodes in the directory, this one included */
    void setNodes(std::size_t nodes);
    /** Sets how often nodes report. */
    void setReportInterval(Duration interval);
    /** Applies a report of another node; its first report must be its snapshot(). */
    void applyReport(const Reporter &reporter, const std::vector<ServiceRetryUsage> &services, TimePoint now);
    /** Removes a reporter that another one has replaced. */
    void forgetReporter(const NodeName &name);
    /** Returns the total usage of this data centre, with the state of the budgets, and marks it as reported. */
    std::vector<ServiceRetryUsage> dataCentreReport(TimePoint now);
    /** See AccountRateLimiter::dataCentreReportIsUrgent(). */
    bool dataCentreReportIsUrgent() const
    {
        return m_retryLimiter.dataCentreReportIsUrgent();
    }
    /** Returns the usage at this node and marks it as reported. Services without requests are left out. */
    std::vector<ServiceRetryUsage> takeReport(TimePoint now);
    /** Returns all services with the state of their budgets, as the first report to another node. */
    std::vector<ServiceRetryUsage> snapshot(TimePoint now) const;
    /** True if so many retries were granted since the last report that the others need a report at once. */
    bool reportIsUrgent() const
    {
        return m_retryLimiter.reportIsUrgent();
    }

    void recordRequest(const ServiceName &service, TimePoint now);
    /**
     * Consumes one retry from the budget. Returns nothing if it is granted, otherwise the time after which one is expected. Less urgent
     * ranks leave a part of the budget to the more urgent ones: when an upstream rejects half of its requests, retries of large, less
     * urgent call trees would use up the budget and still save few of them.
     * @param rank 0 is the most urgent
     * @param callTree calls that the retry makes again, by service; @p service itself is ignored there
     */
    std::optional<Duration>
    acquireRetry(const ServiceName &service, std::uint32_t rank, const std::vector<ServiceCalls> &callTree, TimePoint now);
    /** Continues the plan of the retries to @p service; must be called several times per second for each service. */
    void refresh(const ServiceName &service, TimePoint now);
    /** Counts a retry that can't be avoided: a nested call of a request that is itself retried. */
    void charge(const ServiceName &service, TimePoint now);

private:
    struct RequestRate {
        /** Requests per second at this node, as a moving average. */
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
    /**
     * Requests per second at other nodes.
     * @param includeOtherDataCentres false to count only the nodes of this data centre
     */
    double peerRate(const ServiceName &service, bool includeOtherDataCentres, TimePoint now) const;
    AccountLimit limitOf(const ServiceName &service, TimePoint now);
    bool hasHeadroom(const ServiceName &service, double calls, double reservedFraction, TimePoint now);

    ServiceRetryBudgetSettings m_settings;
    /** Counts retries as if each service were a client account: both are limited to a rate by the same exchange of reports. */
    AccountRateLimiter m_retryLimiter;
    std::unordered_map<ServiceName, RequestRate> m_requestRates;
    std::unordered_map<ServiceName, RetryRatePlan> m_plans;
    std::unordered_map<NodeName, PeerRates> m_peerRates;
};

} // namespace Pimentohollow
