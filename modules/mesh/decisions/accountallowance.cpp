#include "mesh/decisions/accountallowance.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Pimentohollow
{

namespace
{

/** Time constant of the measured demand. */
constexpr double DemandSeconds = 1.0;
/** How long a silent node keeps its part; longer than the partitions that the users' platform announces. */
constexpr std::chrono::seconds PeerMemory(15);
constexpr std::chrono::milliseconds PeerCheckInterval(100);
constexpr std::chrono::milliseconds UsualReportInterval(250);
/** Report intervals after which a node counts as silent: the second report is missing, or the first one is very late. */
constexpr double SilentIntervals = 1.6;
/** A node that has heard the others for this long knows what was spent; before, it doesn't tell others its level. */
constexpr std::chrono::seconds LearningTime(2);
/** Demand that every node is assumed to have, as a part of the average, so that a first request finds a token. */
constexpr double BaseDemandShare = 0.1;
/** Part of the burst that a node assumes after its start: it doesn't know what was spent before. */
constexpr double StartLevel = 0.3;
/** Time for a report to arrive. */
constexpr double DeliverySeconds = 0.03;
/** Time in which unused tokens of a node's share are kept. */
constexpr double ShareSeconds = 0.25;
/** The rate is lowered by this part while the bucket is below zero, until it is paid back. */
constexpr double Payback = 0.1;
/** Part of the burst whose spending makes a report urgent. */
constexpr double UrgentPart = 0.04;
constexpr double UrgentLeast = 4;
/** Part of the bucket's tokens that all nodes together may spend before they report, if they spend alike. */
constexpr double UrgentFleetPart = 0.7;
constexpr double LeastReportedDemand = 0.05;
/** A bucket that lacks less than this is told as full. */
constexpr double LeastReportedMissing = 0.5;

double secondsOf(TimePoint time)
{
    return std::chrono::duration<double>(time.time_since_epoch()).count();
}

double elapsedSeconds(TimePoint since, TimePoint now)
{
    return std::chrono::duration<double>(now - since).count();
}

} // namespace

AccountAllowance::AccountAllowance(TimePoint startedAt)
    : m_startedAt(startedAt)
{
    setReportInterval(UsualReportInterval);
}

void AccountAllowance::setReportInterval(Duration interval)
{
    m_reportInterval = interval;
}

void AccountAllowance::setNodes(std::size_t nodes)
{
    m_nodes = std::max<std::size_t>(1, nodes);
}

void AccountAllowance::reported(const Reporter &reporter, const std::vector<AccountSpending> &spending, TimePoint now)
{
    const auto [entry, added] = m_peers.try_emplace(reporter.name);
    auto &peer = entry->second;
    m_peerNodes += reporter.nodes - (added ? 0 : peer.nodes);
    peer.heardAt = now;
    peer.nodes = reporter.nodes;
    peer.sameDataCentre = reporter.sameDataCentre;
    const double nowSeconds = secondsOf(now);
    auto before = std::exchange(peer.accounts, {});
    for (const auto &it : spending) {
        auto &account = m_accounts[it.account];
        const auto found = before.find(it.account);
        if (found != before.end()) {
            // A lower count is that of a new process of the node.
            const bool restarted = it.admitted < found->second.admitted;
            const std::uint32_t spent = restarted ? it.admitted : it.admitted - found->second.admitted;
            account.level -= spent;
            account.dataCentreAdmitted += reporter.sameDataCentre ? spent : 0;
            forget(account, found->second);
            before.erase(found);
        } else {
            recordFirst(account, it, reporter.sameDataCentre, now);
        }
        account.othersDemand += it.demand;
        // The sums of a data centre are older than the report, as they are made of statuses.
        const double atSeconds = nowSeconds - (it.demand > 0 ? it.unseen / it.demand : 0);
        account.othersDemandSeconds += it.demand * atSeconds;
        peer.accounts[it.account] = { it.demand, atSeconds, it.admitted };
    }
    for (auto &[name, old] : before) {
        // Not reported any more: no demand. The count is kept for the next report.
        forget(m_accounts[name], old);
        peer.accounts[name] = { 0, nowSeconds, old.admitted };
    }
}

void AccountAllowance::forgetReporter(const NodeName &name)
{
    const auto found = m_peers.find(name);
    if (found == m_peers.end()) {
        return;
    }
    for (const auto &[account, peer] : found->second.accounts) {
        forget(m_accounts[account], peer);
    }
    m_peerNodes -= found->second.nodes;
    m_peers.erase(found);
    std::erase(m_silent, name);
}

std::vector<AccountSpending> AccountAllowance::dataCentreReport(TimePoint now)
{
    removeSilentPeers(now);
    struct Sum {
        double demand = 0;
        double unseen = 0;
    };
    std::unordered_map<AccountName, Sum> sums;
    const double nowSeconds = secondsOf(now);
    for (const auto &[name, peer] : m_peers) {
        if (!peer.sameDataCentre || isSilent(peer, now)) {
            continue;
        }
        for (const auto &[account, it] : peer.accounts) {
            auto &sum = sums[account];
            sum.demand += it.demand;
            sum.unseen += it.demand * (nowSeconds - it.atSeconds);
        }
    }
    std::vector<AccountSpending> result;
    for (auto &[name, account] : m_accounts) {
        measure(account, 0, now);
        account.dataCentreAdmittedAtReport = account.dataCentreAdmitted;
        const Sum sum = sums[name];
        AccountSpending spending{ name, account.demand + sum.demand, account.dataCentreAdmitted, std::nullopt, sum.unseen };
        if (account.started && !isLearning(now)) {
            spending.missing = account.limit.burst - levelNow(account, now);
        }
        if (spending.demand >= LeastReportedDemand || spending.missing.value_or(0) >= LeastReportedMissing) {
            result.push_back(std::move(spending));
        }
    }
    return result;
}

bool AccountAllowance::dataCentreReportIsUrgent() const
{
    // Half of what the nodes may spend before each of them reports, as that is unseen as well.
    constexpr double Part = 0.5;
    std::size_t nodes = 1;
    for (const auto &[name, peer] : m_peers) {
        nodes += peer.sameDataCentre ? peer.nodes : 0;
    }
    return std::any_of(m_accounts.begin(), m_accounts.end(), [&](const auto &it) {
        const Account &account = it.second;
        const std::uint32_t spent = account.dataCentreAdmitted - account.dataCentreAdmittedAtReport;
        return spent > 0 && spent > urgentSpending(account) * static_cast<double>(nodes) * Part;
    });
}

std::size_t AccountAllowance::heardInDataCentre(TimePoint now)
{
    return 1 + static_cast<std::size_t>(std::count_if(m_peers.begin(), m_peers.end(), [&](const auto &it) {
               return it.second.sameDataCentre && !isSilent(it.second, now);
           }));
}

void AccountAllowance::recordFirst(Account &account, const AccountSpending &spending, bool sameDataCentre, TimePoint now) const
{
    if (!spending.missing) {
        // The node has started lately, or had no requests of the account: all that it admitted was spent since.
        account.level -= spending.admitted;
        account.dataCentreAdmitted += sameDataCentre ? spending.admitted : 0;
        return;
    }
    // The other node doesn't know yet what this one admitted since it started.
    const double missing = *spending.missing + (isLearning(now) ? account.admitted : 0);
    if (!account.started) {
        account.toldMissing = std::max(account.toldMissing.value_or(0), missing);
        account.toldAt = now;
        return;
    }
    const double told = account.limit.burst - missing;
    account.level = account.toldMissing || !isLearning(now) ? std::min(levelNow(account, now), told) : told;
    account.levelAt = now;
    account.toldMissing = missing;
}

bool AccountAllowance::isLearning(TimePoint now) const
{
    return now - m_startedAt < LearningTime;
}

double AccountAllowance::levelNow(const Account &account, TimePoint now)
{
    return std::min(account.limit.burst, account.level + account.limit.ratePerSecond * elapsedSeconds(account.levelAt, now));
}

void AccountAllowance::setLimit(const AccountName &name, const AccountLimit &limit, TimePoint now)
{
    refreshed(name, limit, now);
}

std::optional<Duration> AccountAllowance::admit(const AccountName &name, const AccountLimit &limit, TimePoint now)
{
    auto &account = refreshed(name, limit, now);
    measure(account, 1, now);
    if (limit.ratePerSecond <= 0) {
        return std::nullopt;
    }
    const double part = share(name, account);
    const double rate = limit.ratePerSecond * part * (account.level < 0 ? 1 - Payback : 1);
    account.shareTokens = std::min(std::max(1.0, rate * ShareSeconds), account.shareTokens + rate * elapsedSeconds(account.shareAt, now));
    account.shareAt = now;
    if (freeTokens(name, account, now) < 1 && account.shareTokens < 1) {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>((1 - account.shareTokens) / std::max(rate, 0.01)));
    }
    take(account);
    return std::nullopt;
}

double AccountAllowance::available(const AccountName &name, const AccountLimit &limit, TimePoint now)
{
    const auto &account = refreshed(name, limit, now);
    return freeTokens(name, account, now);
}

void AccountAllowance::spend(const AccountName &name, const AccountLimit &limit, TimePoint now)
{
    auto &account = refreshed(name, limit, now);
    measure(account, 1, now);
    take(account);
}

std::uint32_t AccountAllowance::admitted(const AccountName &name) const
{
    const auto found = m_accounts.find(name);
    return found == m_accounts.end() ? 0 : found->second.admitted;
}

void AccountAllowance::take(Account &account)
{
    account.level -= 1;
    account.shareTokens = std::max(0.0, account.shareTokens - 1);
    ++account.admitted;
    ++account.dataCentreAdmitted;
    m_urgent = m_urgent || account.admitted - account.admittedAtReport > urgentSpending(account);
}

double AccountAllowance::urgentSpending(const Account &account) const
{
    const double usual = std::max(UrgentLeast, account.limit.burst * UrgentPart);
    if (account.level <= 0) {
        // Only shares of the rate are spent now, and they need no haste.
        return usual;
    }
    const auto nodes = static_cast<double>(std::max(m_nodes, coveredNodes()));
    return std::min(usual, std::max(1.0, account.level * UrgentFleetPart / nodes));
}

std::vector<AccountSpending> AccountAllowance::takeReport(TimePoint now)
{
    m_urgent = false;
    std::vector<AccountSpending> result;
    for (auto &[name, account] : m_accounts) {
        measure(account, 0, now);
        account.admittedAtReport = account.admitted;
        if (account.demand >= LeastReportedDemand) {
            result.push_back({ name, account.demand, account.admitted });
        }
    }
    return result;
}

std::vector<AccountSpending> AccountAllowance::snapshot(TimePoint now) const
{
    std::vector<AccountSpending> result;
    for (const auto &[name, account] : m_accounts) {
        AccountSpending spending{ name,
                                  account.demand * std::exp(-elapsedSeconds(account.demandAt, now) / DemandSeconds),
                                  account.admitted };
        if (account.started && !isLearning(now)) {
            spending.missing = account.limit.burst - levelNow(account, now);
        }
        result.push_back(std::move(spending));
    }
    return result;
}

double AccountAllowance::share(const AccountName &name, TimePoint now)
{
    auto &account = m_accounts[name];
    measure(account, 0, now);
    return share(name, account);
}

double AccountAllowance::level(const AccountName &name) const
{
    const auto found = m_accounts.find(name);
    return found == m_accounts.end() ? 0 : found->second.level;
}

AccountAllowance::Account &AccountAllowance::refreshed(const AccountName &name, const AccountLimit &limit, TimePoint now)
{
    removeSilentPeers(now);
    auto &account = m_accounts[name];
    if (!account.started) {
        account.started = true;
        account.shareAt = now;
        account.shareTokens = 1;
        account.level += account.toldMissing ? limit.burst - *account.toldMissing : limit.burst * StartLevel;
        account.levelAt = account.toldMissing ? account.toldAt : std::min(m_startedAt, now);
    }
    account.limit = limit;
    account.level = levelNow(account, now);
    account.levelAt = now;
    return account;
}

void AccountAllowance::measure(Account &account, double count, TimePoint now)
{
    const double elapsed = elapsedSeconds(account.demandAt, now);
    account.demand = account.demand * std::exp(-elapsed / DemandSeconds) + count / DemandSeconds;
    account.demandAt = now;
}

void AccountAllowance::forget(Account &account, const PeerAccount &peer)
{
    account.othersDemand = std::max(0.0, account.othersDemand - peer.demand);
    account.othersDemandSeconds -= peer.demand * peer.atSeconds;
}

double AccountAllowance::silentDemand(const AccountName &name, const Account &account) const
{
    const std::size_t silentNodes = nodesOf(m_silent) + unheardNodes();
    if (silentNodes == 0) {
        return 0;
    }
    double reported = 0;
    for (const auto &node : m_silent) {
        const auto &accounts = m_peers.at(node).accounts;
        const auto found = accounts.find(name);
        reported += found == accounts.end() ? 0 : found->second.demand;
    }
    const double heardDemand = account.demand + std::max(0.0, account.othersDemand - reported);
    const auto heardNodes = static_cast<double>(coveredNodes() - nodesOf(m_silent));
    // What the others report now is the best guess for those that can't: demand rises everywhere at once.
    return std::max(0.0, std::max(reported, heardDemand / heardNodes * static_cast<double>(silentNodes)) - reported);
}

double AccountAllowance::unseenSpending(const Account &account, TimePoint now) const
{
    const double reported = account.othersDemand * (secondsOf(now) + DeliverySeconds) - account.othersDemandSeconds;
    return std::max(0.0, reported) + account.demand * static_cast<double>(unheardNodes()) * ShareSeconds;
}

double AccountAllowance::freeTokens(const AccountName &name, const Account &account, TimePoint now) const
{
    const double silent = silentDemand(name, account);
    const double silentPart = m_silent.empty() ? 0 : silent / std::max(silent + account.demand + account.othersDemand, LeastReportedDemand);
    return account.level - unseenSpending(account, now) - account.limit.burst * silentPart;
}

double AccountAllowance::share(const AccountName &name, const Account &account) const
{
    const auto nodes = static_cast<double>(std::max(m_nodes, coveredNodes()));
    const double total = account.demand + account.othersDemand + silentDemand(name, account);
    const double base = std::max(total, 1.0) * BaseDemandShare / nodes;
    return (account.demand + base) / (total + base * nodes);
}

void AccountAllowance::removeSilentPeers(TimePoint now)
{
    if (now < m_nextPeerCheck) {
        return;
    }
    m_nextPeerCheck = now + PeerCheckInterval;
    m_silent.clear();
    for (auto it = m_peers.begin(); it != m_peers.end();) {
        if (now - it->second.heardAt <= PeerMemory) {
            if (isSilent(it->second, now)) {
                m_silent.push_back(it->first);
            }
            ++it;
            continue;
        }
        for (const auto &[name, peer] : it->second.accounts) {
            forget(m_accounts[name], peer);
        }
        m_peerNodes -= it->second.nodes;
        it = m_peers.erase(it);
    }
}

bool AccountAllowance::isSilent(const Peer &peer, TimePoint now) const
{
    return now - peer.heardAt > m_reportInterval * SilentIntervals;
}

std::size_t AccountAllowance::unheardNodes() const
{
    const std::size_t known = coveredNodes();
    return m_nodes > known ? m_nodes - known : 0;
}

std::size_t AccountAllowance::coveredNodes() const
{
    return m_peerNodes + 1;
}

std::size_t AccountAllowance::nodesOf(const std::vector<NodeName> &reporters) const
{
    std::size_t nodes = 0;
    for (const auto &it : reporters) {
        nodes += m_peers.at(it).nodes;
    }
    return nodes;
}

} // namespace Pimentohollow
