#include "mesh/decisions/serviceretrybudget.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace Pimentohollow
{

namespace
{

/** Fraction of the ratio that is used; the rest covers retries that nodes grant before they receive each other's reports. */
constexpr double UsedRatioFraction = 0.8;
/** Time constant of the moving average of the requests. */
constexpr double RequestRateTimeConstantSeconds = 1;
/** Fraction of the slack that may be used at once; the exchange of reports may overdraw by a tenth and twenty requests. */
constexpr double UsedSlackFraction = 0.4;
/** A service's unused retries accumulate for up to this time. */
constexpr double RetryBurstSeconds = 0.25;
/** Headroom that a nested service must have for each call that a retry makes there: other nodes grant retries at the same time. */
constexpr double HeadroomFactor = 2;
/** Fraction of the available retries that the least urgent rank leaves to the others; ranks in between leave less. */
constexpr double ReservedFraction = 0.8;
constexpr double LeastUrgentRank = 7;
/** Time after which to ask again for the retry of a call tree for which a nested service has no headroom. */
constexpr std::chrono::seconds CallTreeRetryInterval(1);
/** A node that hasn't reported for this long is assumed to have no requests. */
constexpr std::chrono::seconds PeerRateExpiry(5);
constexpr double MinimumReportedRate = 0.1;

AccountName limiterKey(const ServiceName &service)
{
    return AccountName(service.text());
}

} // namespace

ServiceRetryBudget::ServiceRetryBudget(const ServiceRetryBudgetSettings &settings, TimePoint startedAt)
    : m_settings(settings)
    , m_retryLimiter(startedAt)
{
}

void ServiceRetryBudget::setNodes(std::size_t nodes)
{
    m_retryLimiter.setNodes(nodes);
}

void ServiceRetryBudget::setReportInterval(Duration interval)
{
    m_retryLimiter.setReportInterval(interval);
}

void ServiceRetryBudget::applyReport(const Reporter &reporter, const std::vector<ServiceRetryUsage> &services, TimePoint now)
{
    auto &peer = m_peerRates[reporter.name];
    peer.lastReportAt = now;
    peer.sameDataCentre = reporter.sameDataCentre;
    peer.rates.clear();
    std::vector<AccountUsage> usage;
    usage.reserve(services.size());
    for (const auto &it : services) {
        peer.rates[it.service] = it.requests;
        usage.push_back({ limiterKey(it.service), it.demand, it.retries, it.deficit });
    }
    m_retryLimiter.applyReport(reporter, usage, now);
}

void ServiceRetryBudget::forgetReporter(const NodeName &name)
{
    m_peerRates.erase(name);
    m_retryLimiter.forgetReporter(name);
}

std::vector<ServiceRetryUsage> ServiceRetryBudget::dataCentreReport(TimePoint now)
{
    std::unordered_map<AccountName, AccountUsage> limiterReport;
    for (auto &it : m_retryLimiter.dataCentreReport(now)) {
        const AccountName name = it.account;
        limiterReport.emplace(name, std::move(it));
    }
    std::set<ServiceName> services;
    for (const auto &[service, requests] : m_requestRates) {
        services.insert(service);
    }
    for (const auto &[name, peer] : m_peerRates) {
        for (const auto &[service, rate] : peer.rates) {
            services.insert(service);
        }
    }
    std::vector<ServiceRetryUsage> result;
    for (const auto &service : services) {
        ServiceRetryUsage report{ service, ownRate(service, now) + peerRate(service, false, now) };
        const auto found = limiterReport.find(limiterKey(service));
        if (found != limiterReport.end()) {
            report.demand = found->second.demand;
            report.retries = found->second.admitted;
            report.deficit = found->second.deficit;
        }
        if (report.requests >= MinimumReportedRate || found != limiterReport.end()) {
            result.push_back(std::move(report));
        }
    }
    return result;
}

std::vector<ServiceRetryUsage> ServiceRetryBudget::takeReport(TimePoint now)
{
    std::vector<ServiceRetryUsage> result;
    const auto limiterReport = m_retryLimiter.takeReport(now);
    for (const auto &[service, requests] : m_requestRates) {
        const auto name = limiterKey(service);
        const auto found = std::find_if(limiterReport.begin(), limiterReport.end(), [&name](const AccountUsage &it) {
            return it.account == name;
        });
        ServiceRetryUsage report{ service, ownRate(service, now), 0, m_retryLimiter.admitted(name) };
        if (found != limiterReport.end()) {
            report.demand = found->demand;
        }
        if (report.requests >= MinimumReportedRate || report.demand > 0) {
            result.push_back(std::move(report));
        }
    }
    return result;
}

std::vector<ServiceRetryUsage> ServiceRetryBudget::snapshot(TimePoint now) const
{
    std::vector<ServiceRetryUsage> result;
    for (const auto &it : m_retryLimiter.snapshot(now)) {
        const ServiceName service(it.account.text());
        const auto found = m_requestRates.find(service);
        result.push_back(
            { service, found == m_requestRates.end() ? 0 : decayedRate(found->second, now), it.demand, it.admitted, it.deficit });
    }
    return result;
}

void ServiceRetryBudget::recordRequest(const ServiceName &service, TimePoint now)
{
    ownRate(service, now);
    m_requestRates[service].perSecond += 1 / RequestRateTimeConstantSeconds;
}

std::optional<Duration>
ServiceRetryBudget::acquireRetry(const ServiceName &service, std::uint32_t rank, const std::vector<ServiceCalls> &callTree, TimePoint now)
{
    const double reserved = std::min(1.0, rank / LeastUrgentRank) * ReservedFraction;
    for (const auto &it : callTree) {
        if (it.service != service && !hasHeadroom(it.service, it.calls * HeadroomFactor, reserved, now)) {
            return CallTreeRetryInterval;
        }
    }
    return m_retryLimiter.admit(limiterKey(service), limitOf(service, now), now, reserved);
}

void ServiceRetryBudget::charge(const ServiceName &service, TimePoint now)
{
    m_retryLimiter.consume(limiterKey(service), limitOf(service, now), now);
}

void ServiceRetryBudget::refresh(const ServiceName &service, TimePoint now)
{
    m_retryLimiter.setLimit(limiterKey(service), limitOf(service, now), now);
}

double ServiceRetryBudget::decayedRate(const RequestRate &requests, TimePoint now) const
{
    const double elapsed = std::chrono::duration<double>(now - requests.updatedAt).count();
    return requests.perSecond * std::exp(-elapsed / RequestRateTimeConstantSeconds);
}

double ServiceRetryBudget::ownRate(const ServiceName &service, TimePoint now)
{
    auto &it = m_requestRates[service];
    it.perSecond = decayedRate(it, now);
    it.updatedAt = now;
    return it.perSecond;
}

double ServiceRetryBudget::peerRate(const ServiceName &service, bool includeOtherDataCentres, TimePoint now) const
{
    double rate = 0;
    for (const auto &[node, peer] : m_peerRates) {
        const bool counts = (includeOtherDataCentres || peer.sameDataCentre) && now - peer.lastReportAt <= PeerRateExpiry;
        const auto found = counts ? peer.rates.find(service) : peer.rates.end();
        rate += found == peer.rates.end() ? 0 : found->second;
    }
    return rate;
}

AccountLimit ServiceRetryBudget::limitOf(const ServiceName &service, TimePoint now)
{
    const auto plan = m_plans.try_emplace(service, m_settings.ratio * UsedRatioFraction, m_settings.window).first;
    const double requestRate = ownRate(service, now) + peerRate(service, true, now);
    const double plannedRate = plan->second.update(requestRate, now);
    const double slack = m_settings.slack * UsedSlackFraction;
    return { plannedRate + slack / std::chrono::duration<double>(m_settings.window).count(), slack + plannedRate * RetryBurstSeconds };
}

bool ServiceRetryBudget::hasHeadroom(const ServiceName &service, double calls, double reservedFraction, TimePoint now)
{
    const auto limit = limitOf(service, now);
    return m_retryLimiter.available(limiterKey(service), limit, now) >= calls + reservedFraction * limit.burst;
}

} // namespace Pimentohollow
