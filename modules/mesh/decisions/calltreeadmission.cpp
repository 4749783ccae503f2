#include "mesh/decisions/calltreeadmission.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <numeric>

namespace Pimentohollow
{

namespace
{

/** Fraction of the slots that admitted call trees may use on average; the rest absorbs uneven arrivals. */
constexpr double TargetUtilization = 0.92;
/** The correction factor decreases while requests wait longer than LongWait, and increases while they wait less than ShortWait. */
constexpr std::chrono::milliseconds LongWait(40);
constexpr std::chrono::milliseconds ShortWait(10);
constexpr double FactorDecrease = 0.02;
constexpr double FactorIncrease = 0.01;
constexpr double MinimumFactor = 0.6;
constexpr double MaximumFactor = 1.1;
/** Weight of one response in the moving average of the work. */
constexpr double WorkWeight = 0.03;
constexpr double MicrosecondsPerSecond = 1e6;
/** Work below this doesn't make a call tree depend on a service. */
constexpr double MinimumWorkSeconds = 0.0005;
/** Time constant of the moving average of arrivals. */
constexpr double ArrivalTimeConstantSeconds = 0.8;
/** The last reported demand of a silent node counts for this long. */
constexpr std::chrono::seconds PeerExpiry(3);
/** Demand for a service is reported from this utilization on; below it, nothing is shed whatever the other nodes know. */
constexpr double ReportedUtilization = 0.5;
/** Share that is always admitted, so that a change of the call trees or of the capacity is noticed. */
constexpr double MinimumShare = 0.02;
/** Refused callers retry after the minimum plus a part of a spread, which grows with the refused share. */
constexpr std::chrono::milliseconds MinimumRetryAfter(250);
constexpr std::chrono::milliseconds RetryAfterSpread(1200);

std::size_t indexOf(std::uint32_t rank)
{
    return std::min<std::size_t>(rank, AdmissionRanks - 1);
}

} // namespace

void CallTreeAdmission::recordWork(const RouteName &route, const std::vector<ServiceWork> &work)
{
    auto &known = m_work[route];
    const bool first = known.empty();
    std::map<ServiceName, double> sums;
    for (const auto &it : work) {
        sums[it.service] += it.microseconds / MicrosecondsPerSecond;
    }
    for (auto &[service, seconds] : known) {
        sums.try_emplace(service, 0);
    }
    for (const auto &[service, seconds] : sums) {
        auto &mean = known[service];
        mean += (first ? 1 : WorkWeight) * (seconds - mean);
    }
}

void CallTreeAdmission::applyReport(const Reporter &reporter, const std::map<ServiceName, RankDemand> &demand, TimePoint now)
{
    m_peers[reporter.name] = { now, reporter.sameDataCentre, demand };
}

void CallTreeAdmission::forgetReporter(const NodeName &name)
{
    m_peers.erase(name);
}

void CallTreeAdmission::setCapacity(const ServiceName &service, const ServiceCapacity &capacity)
{
    auto &it = m_services[service];
    it.capacity = capacity;
    it.capacitySet = true;
}

void CallTreeAdmission::adjust(TimePoint now)
{
    measureArrivals(now);
    sumDemand(now);
    for (auto &[name, service] : m_services) {
        if (!service.capacitySet) {
            service.capacity = {};
        }
        service.capacitySet = false;
        if (service.capacity.wait > LongWait) {
            service.utilizationFactor -= FactorDecrease;
        } else if (service.capacity.wait < ShortWait) {
            service.utilizationFactor += FactorIncrease;
        }
        service.utilizationFactor = std::clamp(service.utilizationFactor, MinimumFactor, MaximumFactor);
        divideSlots(service);
    }
}

std::optional<Duration> CallTreeAdmission::admit(const RouteName &route, std::uint32_t rank, TimePoint /*now*/)
{
    const std::size_t index = indexOf(rank);
    m_arrivals[route].counts[index] += 1;
    const auto found = m_work.find(route);
    if (found == m_work.end()) {
        return std::nullopt;
    }
    double share = 1;
    for (const auto &[service, seconds] : found->second) {
        if (seconds >= MinimumWorkSeconds) {
            share = std::min(share, admittedShare(service, rank));
        }
    }
    auto &credit = m_credits[route][index];
    credit = std::min(credit + share, 1.0 + share);
    if (share >= 1 || credit >= 1) {
        credit = std::max(0.0, credit - 1);
        return std::nullopt;
    }
    // A golden-ratio sequence spreads the retries evenly without a random source.
    constexpr double GoldenRatio = 0.6180339887;
    const double spread = std::fmod(++m_refusals * GoldenRatio, 1.0) * (1 - share);
    return MinimumRetryAfter + std::chrono::duration_cast<Duration>(RetryAfterSpread * spread);
}

bool CallTreeAdmission::isUncongested(const RouteName &route) const
{
    const auto found = m_work.find(route);
    if (found == m_work.end()) {
        return false;
    }
    return std::all_of(found->second.begin(), found->second.end(), [this](const auto &it) {
        const auto service = m_services.find(it.first);
        if (service == m_services.end() || service->second.capacity.wait >= ShortWait) {
            return false;
        }
        const auto &shares = service->second.shares;
        return std::all_of(shares.begin(), shares.end(), [](double share) {
            return share >= 1;
        });
    });
}

std::map<ServiceName, RankDemand> CallTreeAdmission::demand() const
{
    std::map<ServiceName, RankDemand> result;
    for (const auto &[name, service] : m_services) {
        double total = 0;
        for (const double it : service.totalDemand) {
            total += it;
        }
        if (std::max(total, service.capacity.busy) > service.capacity.slots * ReportedUtilization) {
            result.emplace(name, service.ownDemand);
        }
    }
    return result;
}

std::map<ServiceName, RankDemand> CallTreeAdmission::dataCentreDemand(TimePoint now) const
{
    auto result = demand();
    for (const auto &[name, peer] : m_peers) {
        if (!peer.sameDataCentre || now - peer.lastReportAt > PeerExpiry) {
            continue;
        }
        for (const auto &[service, ranks] : peer.demand) {
            auto &sum = result[service];
            for (std::size_t n = 0; n < AdmissionRanks; ++n) {
                sum[n] += ranks[n];
            }
        }
    }
    return result;
}

std::string CallTreeAdmission::describe(const RouteName &route, std::uint32_t rank) const
{
    std::string result;
    const auto work = m_work.find(route);
    if (work == m_work.end()) {
        return result;
    }
    for (const auto &[name, seconds] : work->second) {
        const auto found = m_services.find(name);
        if (found == m_services.end() || found->second.shares[indexOf(rank)] >= 1) {
            continue;
        }
        const auto &service = found->second;
        result += fmt::format("{}{}: slots={:.0f} demand={:.1f} share={:.2f}",
                              result.empty() ? "" : ", ",
                              name.text(),
                              service.capacity.slots,
                              std::accumulate(service.totalDemand.begin(), service.totalDemand.end(), 0.0),
                              service.shares[indexOf(rank)]);
    }
    return result;
}

double CallTreeAdmission::admittedShare(const ServiceName &service, std::uint32_t rank) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? 1 : found->second.shares[indexOf(rank)];
}

void CallTreeAdmission::measureArrivals(TimePoint now)
{
    const double elapsed = std::chrono::duration<double>(now - m_adjustedAt).count();
    m_adjustedAt = now;
    if (elapsed <= 0 || elapsed > 10) {
        return;
    }
    const double kept = std::exp(-elapsed / ArrivalTimeConstantSeconds);
    for (auto &[route, arrivals] : m_arrivals) {
        for (std::size_t n = 0; n < AdmissionRanks; ++n) {
            arrivals.perSecond[n] = arrivals.perSecond[n] * kept + arrivals.counts[n] / elapsed * (1 - kept);
            arrivals.counts[n] = 0;
        }
    }
}

void CallTreeAdmission::sumDemand(TimePoint now)
{
    for (auto &[name, service] : m_services) {
        service.ownDemand = {};
    }
    for (const auto &[route, arrivals] : m_arrivals) {
        const auto work = m_work.find(route);
        if (work == m_work.end()) {
            continue;
        }
        for (const auto &[name, seconds] : work->second) {
            auto &own = m_services[name].ownDemand;
            for (std::size_t n = 0; n < AdmissionRanks; ++n) {
                own[n] += arrivals.perSecond[n] * seconds;
            }
        }
    }
    for (auto &[name, service] : m_services) {
        service.totalDemand = service.ownDemand;
    }
    for (const auto &[node, peer] : m_peers) {
        if (now - peer.lastReportAt > PeerExpiry) {
            continue;
        }
        for (const auto &[name, demand] : peer.demand) {
            auto &total = m_services[name].totalDemand;
            for (std::size_t n = 0; n < AdmissionRanks; ++n) {
                total[n] += demand[n];
            }
        }
    }
}

void CallTreeAdmission::divideSlots(Service &service)
{
    double remaining = service.capacity.slots * TargetUtilization * service.utilizationFactor;
    for (std::size_t n = 0; n < AdmissionRanks; ++n) {
        const double demanded = service.totalDemand[n];
        service.shares[n] = demanded <= remaining && service.capacity.slots > 0
            ? 1
            : std::max(MinimumShare, remaining / std::max(demanded, MinimumWorkSeconds));
        remaining = std::max(0.0, remaining - demanded);
    }
}

} // namespace Pimentohollow
