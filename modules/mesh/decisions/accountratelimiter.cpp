#include "mesh/decisions/accountratelimiter.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Pimentohollow
{

namespace
{

/** Time constant of the moving average of the demand. */
constexpr double DemandTimeConstantSeconds = 1.0;
/** How long the share of a silent node stays reserved; longer than the partitions that the users' platform announces. */
constexpr std::chrono::seconds PeerExpiry(15);
constexpr std::chrono::milliseconds PeerCheckInterval(100);
constexpr std::chrono::milliseconds DefaultReportInterval(250);
/** Report intervals after which a node counts as silent: the second report is missing, or the first one is very late. */
constexpr double SilentIntervals = 1.6;
/** Time after the start in which a node learns the usage from the others' reports; until then, it doesn't report bucket levels. */
constexpr std::chrono::seconds WarmUpTime(2);
/** Demand that every node is assumed to have, as a fraction of the average, so that a first request finds a token. */
constexpr double BaseDemandFraction = 0.1;
/** Fraction of the burst that a node assumes to be available after its start: it doesn't know the usage before that. */
constexpr double InitialBurstFraction = 0.3;
/** Assumed delivery time of a report. */
constexpr double ReportDeliverySeconds = 0.03;
/** Unused tokens of a node's share accumulate for up to this time. */
constexpr double ShareBurstSeconds = 0.25;
/** Fraction by which the rate is lowered while the bucket is below zero, until the excess is compensated. */
constexpr double PaybackFraction = 0.1;
/** Fraction of the burst that makes a report urgent when it is consumed. */
constexpr double UrgentBurstFraction = 0.04;
constexpr double MinimumUrgentRequests = 4;
/** Fraction of the bucket's tokens that all nodes together may consume before they report, if they consume at the same rate. */
constexpr double UrgentFleetFraction = 0.7;
constexpr double MinimumReportedDemand = 0.05;
/** A smaller deficit is reported as a full bucket. */
constexpr double MinimumReportedDeficit = 0.5;

double secondsOf(TimePoint time)
{
    return std::chrono::duration<double>(time.time_since_epoch()).count();
}

double elapsedSeconds(TimePoint since, TimePoint now)
{
    return std::chrono::duration<double>(now - since).count();
}

} // namespace

AccountRateLimiter::AccountRateLimiter(TimePoint startedAt)
    : m_startedAt(startedAt)
{
    setReportInterval(DefaultReportInterval);
}

void AccountRateLimiter::setReportInterval(Duration interval)
{
    m_reportInterval = interval;
}

void AccountRateLimiter::setNodes(std::size_t nodes)
{
    m_nodes = std::max<std::size_t>(1, nodes);
}

void AccountRateLimiter::applyReport(const Reporter &reporter, const std::vector<AccountUsage> &usage, TimePoint now)
{
    const auto [entry, added] = m_peers.try_emplace(reporter.name);
    auto &peer = entry->second;
    m_peerNodes += reporter.nodes - (added ? 0 : peer.nodes);
    peer.lastReportAt = now;
    peer.nodes = reporter.nodes;
    peer.sameDataCentre = reporter.sameDataCentre;
    const double nowSeconds = secondsOf(now);
    auto before = std::exchange(peer.accounts, {});
    for (const auto &it : usage) {
        auto &account = m_accounts[it.account];
        if (account.initialized) {
            // The bucket may have been full in the meantime, so it must be filled before the usage is deducted.
            account.level = currentLevel(account, now);
            account.levelUpdatedAt = now;
        }
        const auto found = before.find(it.account);
        if (found != before.end()) {
            // A lower count means that the node has restarted.
            const bool restarted = it.admitted < found->second.admitted;
            const std::uint32_t consumed = restarted ? it.admitted : it.admitted - found->second.admitted;
            account.level -= consumed;
            account.dataCentreAdmitted += reporter.sameDataCentre ? consumed : 0;
            subtractPeerDemand(account, found->second);
            before.erase(found);
        } else {
            applyFirstReport(account, it, reporter.sameDataCentre, now);
        }
        account.peerDemand += it.demand;
        // The sums of a data centre are older than the report, since they consist of earlier status reports of its nodes.
        const double atSeconds = nowSeconds - (it.demand > 0 ? it.unreported / it.demand : 0);
        account.peerDemandTimeSum += it.demand * atSeconds;
        peer.accounts[it.account] = { it.demand, atSeconds, it.admitted };
    }
    for (auto &[name, old] : before) {
        // No longer reported, so there is no demand. The count is kept as the base for the next report.
        subtractPeerDemand(m_accounts[name], old);
        peer.accounts[name] = { 0, nowSeconds, old.admitted };
    }
}

void AccountRateLimiter::forgetReporter(const NodeName &name)
{
    const auto found = m_peers.find(name);
    if (found == m_peers.end()) {
        return;
    }
    for (const auto &[account, peer] : found->second.accounts) {
        subtractPeerDemand(m_accounts[account], peer);
    }
    m_peerNodes -= found->second.nodes;
    m_peers.erase(found);
    std::erase(m_silentPeers, name);
}

std::vector<AccountUsage> AccountRateLimiter::dataCentreReport(TimePoint now)
{
    updateSilentPeers(now);
    struct Sum {
        double demand = 0;
        double unreported = 0;
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
            sum.unreported += it.demand * (nowSeconds - it.reportedAtSeconds);
        }
    }
    std::vector<AccountUsage> result;
    for (auto &[name, account] : m_accounts) {
        updateDemand(account, 0, now);
        account.dataCentreAdmittedAtReport = account.dataCentreAdmitted;
        const Sum sum = sums[name];
        AccountUsage usage{ name, account.demand + sum.demand, account.dataCentreAdmitted, std::nullopt, sum.unreported };
        if (account.initialized && !isWarmingUp(now)) {
            usage.deficit = account.limit.burst - currentLevel(account, now);
        }
        if (usage.demand >= MinimumReportedDemand || usage.deficit.value_or(0) >= MinimumReportedDeficit) {
            result.push_back(std::move(usage));
        }
    }
    return result;
}

bool AccountRateLimiter::dataCentreReportIsUrgent() const
{
    // Half of what the nodes may consume before each of them reports, since that part is unreported as well.
    constexpr double DigestFraction = 0.5;
    std::size_t nodes = 1;
    for (const auto &[name, peer] : m_peers) {
        nodes += peer.sameDataCentre ? peer.nodes : 0;
    }
    return std::any_of(m_accounts.begin(), m_accounts.end(), [&](const auto &it) {
        const Account &account = it.second;
        const std::uint32_t consumed = account.dataCentreAdmitted - account.dataCentreAdmittedAtReport;
        return consumed > 0 && consumed > urgentReportThreshold(account) * static_cast<double>(nodes) * DigestFraction;
    });
}

std::size_t AccountRateLimiter::reportingNodesInDataCentre(TimePoint now)
{
    return 1 + static_cast<std::size_t>(std::count_if(m_peers.begin(), m_peers.end(), [&](const auto &it) {
               return it.second.sameDataCentre && !isSilent(it.second, now);
           }));
}

void AccountRateLimiter::applyFirstReport(Account &account, const AccountUsage &usage, bool sameDataCentre, TimePoint now) const
{
    if (!usage.deficit) {
        // The node has started recently, or has received no requests of the account: everything it admitted was consumed since then.
        account.level -= usage.admitted;
        account.dataCentreAdmitted += sameDataCentre ? usage.admitted : 0;
        return;
    }
    // The other node doesn't know yet what this one has admitted since its start.
    const double deficit = *usage.deficit + (isWarmingUp(now) ? account.admitted : 0);
    if (!account.initialized) {
        account.reportedDeficit = std::max(account.reportedDeficit.value_or(0), deficit);
        account.deficitReportedAt = now;
        return;
    }
    const double reportedLevel = account.limit.burst - deficit;
    account.level = account.reportedDeficit || !isWarmingUp(now) ? std::min(currentLevel(account, now), reportedLevel) : reportedLevel;
    account.levelUpdatedAt = now;
    account.reportedDeficit = deficit;
}

bool AccountRateLimiter::isWarmingUp(TimePoint now) const
{
    return now - m_startedAt < WarmUpTime;
}

double AccountRateLimiter::currentLevel(const Account &account, TimePoint now)
{
    return std::min(account.limit.burst, account.level + account.limit.ratePerSecond * elapsedSeconds(account.levelUpdatedAt, now));
}

void AccountRateLimiter::setLimit(const AccountName &name, const AccountLimit &limit, TimePoint now)
{
    refreshAccount(name, limit, now);
}

std::optional<Duration>
AccountRateLimiter::admit(const AccountName &name, const AccountLimit &limit, TimePoint now, double reservedFraction)
{
    const auto wait = check(name, limit, now, reservedFraction);
    if (!wait) {
        consumeToken(name);
    }
    return wait;
}

std::optional<Duration>
AccountRateLimiter::check(const AccountName &name, const AccountLimit &limit, TimePoint now, double reservedFraction)
{
    auto &account = refreshAccount(name, limit, now);
    updateDemand(account, 1, now);
    if (limit.ratePerSecond <= 0) {
        return std::nullopt;
    }
    const double ownShare = share(name, account);
    const double rate = limit.ratePerSecond * ownShare * (account.level < 0 ? 1 - PaybackFraction : 1);
    const double shareBurst = std::max(1.0, rate * ShareBurstSeconds);
    account.shareTokens = std::min(shareBurst, account.shareTokens + rate * elapsedSeconds(account.shareUpdatedAt, now));
    account.shareUpdatedAt = now;
    const double neededShareTokens = 1 + reservedFraction * (shareBurst - 1);
    if (freeTokens(name, account, now) < 1 + reservedFraction * limit.burst && account.shareTokens < neededShareTokens) {
        const double missing = neededShareTokens - account.shareTokens;
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(missing / std::max(rate, 0.01)));
    }
    return std::nullopt;
}

void AccountRateLimiter::consumeToken(const AccountName &name)
{
    auto &account = m_accounts[name];
    if (account.limit.ratePerSecond > 0) {
        consumeToken(account);
    }
}

double AccountRateLimiter::available(const AccountName &name, const AccountLimit &limit, TimePoint now)
{
    const auto &account = refreshAccount(name, limit, now);
    return freeTokens(name, account, now);
}

void AccountRateLimiter::consume(const AccountName &name, const AccountLimit &limit, TimePoint now)
{
    auto &account = refreshAccount(name, limit, now);
    updateDemand(account, 1, now);
    consumeToken(account);
}

std::uint32_t AccountRateLimiter::admitted(const AccountName &name) const
{
    const auto found = m_accounts.find(name);
    return found == m_accounts.end() ? 0 : found->second.admitted;
}

void AccountRateLimiter::consumeToken(Account &account)
{
    account.level -= 1;
    account.shareTokens = std::max(0.0, account.shareTokens - 1);
    ++account.admitted;
    ++account.dataCentreAdmitted;
    m_urgent = m_urgent || account.admitted - account.admittedAtReport > urgentReportThreshold(account);
}

double AccountRateLimiter::urgentReportThreshold(const Account &account) const
{
    const double typical = std::max(MinimumUrgentRequests, account.limit.burst * UrgentBurstFraction);
    if (account.level <= 0) {
        // Nodes only consume their shares of the rate now, which needs no urgent reports.
        return typical;
    }
    const auto nodes = static_cast<double>(std::max(m_nodes, coveredNodes()));
    return std::min(typical, std::max(1.0, account.level * UrgentFleetFraction / nodes));
}

std::vector<AccountUsage> AccountRateLimiter::takeReport(TimePoint now)
{
    m_urgent = false;
    std::vector<AccountUsage> result;
    for (auto &[name, account] : m_accounts) {
        updateDemand(account, 0, now);
        account.admittedAtReport = account.admitted;
        if (account.demand >= MinimumReportedDemand) {
            result.push_back({ name, account.demand, account.admitted });
        }
    }
    return result;
}

std::vector<AccountUsage> AccountRateLimiter::snapshot(TimePoint now) const
{
    std::vector<AccountUsage> result;
    for (const auto &[name, account] : m_accounts) {
        AccountUsage usage{ name,
                            account.demand * std::exp(-elapsedSeconds(account.demandUpdatedAt, now) / DemandTimeConstantSeconds),
                            account.admitted };
        if (account.initialized && !isWarmingUp(now)) {
            usage.deficit = account.limit.burst - currentLevel(account, now);
        }
        result.push_back(std::move(usage));
    }
    return result;
}

double AccountRateLimiter::share(const AccountName &name, TimePoint now)
{
    auto &account = m_accounts[name];
    updateDemand(account, 0, now);
    return share(name, account);
}

double AccountRateLimiter::level(const AccountName &name) const
{
    const auto found = m_accounts.find(name);
    return found == m_accounts.end() ? 0 : found->second.level;
}

AccountRateLimiter::Account &AccountRateLimiter::refreshAccount(const AccountName &name, const AccountLimit &limit, TimePoint now)
{
    updateSilentPeers(now);
    auto &account = m_accounts[name];
    if (!account.initialized) {
        account.initialized = true;
        account.shareUpdatedAt = now;
        account.shareTokens = 1;
        account.level += account.reportedDeficit ? limit.burst - *account.reportedDeficit : limit.burst * InitialBurstFraction;
        account.levelUpdatedAt = account.reportedDeficit ? account.deficitReportedAt : std::min(m_startedAt, now);
    }
    account.limit = limit;
    account.level = currentLevel(account, now);
    account.levelUpdatedAt = now;
    return account;
}

void AccountRateLimiter::updateDemand(Account &account, double count, TimePoint now)
{
    const double elapsed = elapsedSeconds(account.demandUpdatedAt, now);
    account.demand = account.demand * std::exp(-elapsed / DemandTimeConstantSeconds) + count / DemandTimeConstantSeconds;
    account.demandUpdatedAt = now;
}

void AccountRateLimiter::subtractPeerDemand(Account &account, const PeerAccount &peer)
{
    account.peerDemand = std::max(0.0, account.peerDemand - peer.demand);
    account.peerDemandTimeSum -= peer.demand * peer.reportedAtSeconds;
}

double AccountRateLimiter::silentDemand(const AccountName &name, const Account &account) const
{
    const std::size_t silentNodes = nodesCoveredBy(m_silentPeers) + uncoveredNodes();
    if (silentNodes == 0) {
        return 0;
    }
    double lastReported = 0;
    for (const auto &node : m_silentPeers) {
        const auto &accounts = m_peers.at(node).accounts;
        const auto found = accounts.find(name);
        lastReported += found == accounts.end() ? 0 : found->second.demand;
    }
    const double reportingDemand = account.demand + std::max(0.0, account.peerDemand - lastReported);
    const auto reportingNodes = static_cast<double>(coveredNodes() - nodesCoveredBy(m_silentPeers));
    // Assumes the current demand of the reporting nodes for the silent ones, since demand rises at all nodes at once.
    return std::max(0.0, std::max(lastReported, reportingDemand / reportingNodes * static_cast<double>(silentNodes)) - lastReported);
}

double AccountRateLimiter::unreportedUsage(const Account &account, TimePoint now) const
{
    const double sinceReports = account.peerDemand * (secondsOf(now) + ReportDeliverySeconds) - account.peerDemandTimeSum;
    return std::max(0.0, sinceReports) + account.demand * static_cast<double>(uncoveredNodes()) * ShareBurstSeconds;
}

double AccountRateLimiter::freeTokens(const AccountName &name, const Account &account, TimePoint now) const
{
    const double silent = silentDemand(name, account);
    const double silentFraction =
        m_silentPeers.empty() ? 0 : silent / std::max(silent + account.demand + account.peerDemand, MinimumReportedDemand);
    return account.level - unreportedUsage(account, now) - account.limit.burst * silentFraction;
}

double AccountRateLimiter::share(const AccountName &name, const Account &account) const
{
    const auto nodes = static_cast<double>(std::max(m_nodes, coveredNodes()));
    const double total = account.demand + account.peerDemand + silentDemand(name, account);
    const double base = std::max(total, 1.0) * BaseDemandFraction / nodes;
    return (account.demand + base) / (total + base * nodes);
}

void AccountRateLimiter::updateSilentPeers(TimePoint now)
{
    if (now < m_nextPeerCheck) {
        return;
    }
    m_nextPeerCheck = now + PeerCheckInterval;
    m_silentPeers.clear();
    for (auto it = m_peers.begin(); it != m_peers.end();) {
        if (now - it->second.lastReportAt <= PeerExpiry) {
            if (isSilent(it->second, now)) {
                m_silentPeers.push_back(it->first);
            }
            ++it;
            continue;
        }
        for (const auto &[name, peer] : it->second.accounts) {
            subtractPeerDemand(m_accounts[name], peer);
        }
        m_peerNodes -= it->second.nodes;
        it = m_peers.erase(it);
    }
}

bool AccountRateLimiter::isSilent(const Peer &peer, TimePoint now) const
{
    return now - peer.lastReportAt > m_reportInterval * SilentIntervals;
}

std::size_t AccountRateLimiter::uncoveredNodes() const
{
    const std::size_t known = coveredNodes();
    return m_nodes > known ? m_nodes - known : 0;
}

std::size_t AccountRateLimiter::coveredNodes() const
{
    return m_peerNodes + 1;
}

std::size_t AccountRateLimiter::nodesCoveredBy(const std::vector<NodeName> &reporters) const
{
    std::size_t nodes = 0;
    for (const auto &it : reporters) {
        nodes += m_peers.at(it).nodes;
    }
    return nodes;
}

} // namespace Pimentohollow
