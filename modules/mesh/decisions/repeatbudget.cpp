#include "mesh/decisions/repeatbudget.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace Pimentohollow
{

namespace
{

/** Share of the ratio that is used; the rest covers repeats that nodes grant before they hear of each other's. */
constexpr double RatioShare = 0.75;
/** Share of the slack that may be spent at once; the account exchange may overdraw by a tenth and twenty requests. */
constexpr double SlackShare = 0.4;
/** Time for which a service may save its share of the ratio. */
constexpr double SavedSeconds = 1;
/** Room that a service below must have for each call that a repeat brings there: other nodes grant repeats at the same time. */
constexpr double RoomFactor = 2;
/** Part of the saved repeats that the least urgent rank leaves to the others; ranks between leave less. */
constexpr double ReservedShare = 0.25;
constexpr double LastRank = 7;
/** A node that was not heard for this long is taken to have no requests. */
constexpr std::chrono::seconds RateMemory(5);
constexpr double LeastReportedRate = 0.1;
/** Assumed for a service without requests, because a rate of zero stands for no limit. */
constexpr double LeastRate = 0.01;

AccountName nameFor(const ServiceName &service)
{
    return AccountName(service.text());
}

} // namespace

RepeatBudget::RepeatBudget(const RepeatBudgetSettings &settings, TimePoint startedAt)
    : m_settings(settings)
    , m_repeats(startedAt)
{
}

void RepeatBudget::setNodes(std::size_t nodes)
{
    m_repeats.setNodes(nodes);
}

void RepeatBudget::setReportInterval(Duration interval)
{
    m_repeats.setReportInterval(interval);
}

void RepeatBudget::reported(const Reporter &reporter, const std::vector<ServiceRepeats> &services, TimePoint now)
{
    auto &peer = m_peers[reporter.name];
    peer.heardAt = now;
    peer.sameDataCentre = reporter.sameDataCentre;
    peer.rates.clear();
    std::vector<AccountSpending> spending;
    spending.reserve(services.size());
    for (const auto &it : services) {
        peer.rates[it.service] = it.requests;
        spending.push_back({ nameFor(it.service), it.demand, it.repeats, it.missing });
    }
    m_repeats.reported(reporter, spending, now);
}

void RepeatBudget::forgetReporter(const NodeName &name)
{
    m_peers.erase(name);
    m_repeats.forgetReporter(name);
}

std::vector<ServiceRepeats> RepeatBudget::dataCentreReport(TimePoint now)
{
    std::unordered_map<AccountName, AccountSpending> spent;
    for (auto &it : m_repeats.dataCentreReport(now)) {
        const AccountName name = it.account;
        spent.emplace(name, std::move(it));
    }
    std::set<ServiceName> services;
    for (const auto &[service, requests] : m_requests) {
        services.insert(service);
    }
    for (const auto &[name, peer] : m_peers) {
        for (const auto &[service, rate] : peer.rates) {
            services.insert(service);
        }
    }
    std::vector<ServiceRepeats> result;
    for (const auto &service : services) {
        ServiceRepeats report{ service, ownRate(service, now) + othersRate(service, false, now) };
        const auto found = spent.find(nameFor(service));
        if (found != spent.end()) {
            report.demand = found->second.demand;
            report.repeats = found->second.admitted;
            report.missing = found->second.missing;
        }
        if (report.requests >= LeastReportedRate || found != spent.end()) {
            result.push_back(std::move(report));
        }
    }
    return result;
}

std::vector<ServiceRepeats> RepeatBudget::takeReport(TimePoint now)
{
    std::vector<ServiceRepeats> result;
    const auto spent = m_repeats.takeReport(now);
    for (const auto &[service, requests] : m_requests) {
        const auto name = nameFor(service);
        const auto found = std::find_if(spent.begin(), spent.end(), [&name](const AccountSpending &it) {
            return it.account == name;
        });
        ServiceRepeats report{ service, ownRate(service, now), 0, m_repeats.admitted(name) };
        if (found != spent.end()) {
            report.demand = found->demand;
        }
        if (report.requests >= LeastReportedRate || report.demand > 0) {
            result.push_back(std::move(report));
        }
    }
    return result;
}

std::vector<ServiceRepeats> RepeatBudget::snapshot(TimePoint now) const
{
    std::vector<ServiceRepeats> result;
    for (const auto &it : m_repeats.snapshot(now)) {
        const ServiceName service(it.account.text());
        const auto found = m_requests.find(service);
        result.push_back({ service, found == m_requests.end() ? 0 : rateOf(found->second, now), it.demand, it.admitted, it.missing });
    }
    return result;
}

void RepeatBudget::recordRequest(const ServiceName &service, TimePoint now)
{
    ownRate(service, now);
    m_requests[service].own += 1 / std::chrono::duration<double>(m_settings.window).count();
}

bool RepeatBudget::tryRepeat(const ServiceName &service, std::uint32_t rank, const std::vector<ServiceCalls> &tree, TimePoint now)
{
    const double reserved = std::min(1.0, rank / LastRank) * ReservedShare;
    if (reserved > 0 && !hasRoom(service, 1, reserved, now)) {
        return false;
    }
    for (const auto &it : tree) {
        if (it.service != service && !hasRoom(it.service, it.calls * RoomFactor, reserved, now)) {
            return false;
        }
    }
    return !m_repeats.admit(nameFor(service), limitOf(service, now), now);
}

void RepeatBudget::charge(const ServiceName &service, TimePoint now)
{
    m_repeats.spend(nameFor(service), limitOf(service, now), now);
}

double RepeatBudget::rateOf(const Requests &requests, TimePoint now) const
{
    const double elapsed = std::chrono::duration<double>(now - requests.updated).count();
    return requests.own * std::exp(-elapsed / std::chrono::duration<double>(m_settings.window).count());
}

double RepeatBudget::ownRate(const ServiceName &service, TimePoint now)
{
    auto &it = m_requests[service];
    it.own = rateOf(it, now);
    it.updated = now;
    return it.own;
}

double RepeatBudget::othersRate(const ServiceName &service, bool everywhere, TimePoint now) const
{
    double rate = 0;
    for (const auto &[node, peer] : m_peers) {
        const bool counts = (everywhere || peer.sameDataCentre) && now - peer.heardAt <= RateMemory;
        const auto found = counts ? peer.rates.find(service) : peer.rates.end();
        rate += found == peer.rates.end() ? 0 : found->second;
    }
    return rate;
}

AccountLimit RepeatBudget::limitOf(const ServiceName &service, TimePoint now)
{
    const double rate = ownRate(service, now) + othersRate(service, true, now);
    const double repeats = std::max(LeastRate, rate * m_settings.ratio * RatioShare);
    return { repeats, m_settings.slack * SlackShare + repeats * SavedSeconds };
}

bool RepeatBudget::hasRoom(const ServiceName &service, double calls, double reservedShare, TimePoint now)
{
    const auto limit = limitOf(service, now);
    return m_repeats.available(nameFor(service), limit, now) >= calls + reservedShare * limit.burst;
}

} // namespace Pimentohollow
