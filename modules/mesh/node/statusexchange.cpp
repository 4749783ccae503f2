#include "mesh/node/statusexchange.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace Pimentohollow
{

namespace
{

/** Status interval of a small fleet. */
constexpr std::chrono::milliseconds ShortestInterval(250);
/** Frames per second that a node sends in a medium-sized data centre: the interval grows with the peers, so the cost per node doesn't. */
constexpr std::size_t StatusFramesPerSecond = 80;
/** Less than half of MeshLink::SilenceTimeout, so that one late frame doesn't close a connection. */
constexpr std::chrono::milliseconds LongestInterval(900);
/** A relay without a digest for this many status intervals is replaced by another node that sends digests. */
constexpr int RelayTimeoutIntervals = 2;
/** Limits the memory for the names of one peer; far above the number of accounts and services of a fleet. */
constexpr std::size_t MaximumNamesPerPeer = 100'000;
/** Frames encode rates and tokens in tenths, slots in thousandths. */
constexpr double Tenths = 10;
constexpr double Thousandths = 1000;

std::uint32_t encodeTenths(double value)
{
    return static_cast<std::uint32_t>(std::max(0.0, value) * Tenths);
}

/** Adds one to the tenths, because 0 means that no deficit is reported. */
std::uint32_t encodeDeficit(const std::optional<double> &deficit)
{
    return deficit ? encodeTenths(*deficit) + 1 : 0;
}

std::optional<double> decodeDeficit(std::uint32_t deciDeficit)
{
    if (deciDeficit == 0) {
        return std::nullopt;
    }
    return (deciDeficit - 1) / Tenths;
}

/** Returns the name at this index, or nullptr if it is unknown. */
const std::string *nameOf(const std::vector<std::string> &names, std::uint32_t number)
{
    return number < names.size() && !names[number].empty() ? &names[number] : nullptr;
}

} // namespace

StatusExchange::StatusExchange(AccountRateLimiter &accountRateLimiter,
                               ServiceRetryBudget &retryBudget,
                               CallTreeAdmission &treeAdmission,
                               CrashTracker &crashTracker)
    : m_accountRateLimiter(accountRateLimiter)
    , m_retryBudget(retryBudget)
    , m_treeAdmission(treeAdmission)
    , m_crashTracker(crashTracker)
{
}

Duration StatusExchange::intervalFor(std::size_t peers)
{
    const auto scaled = std::chrono::milliseconds(1000 * peers / StatusFramesPerSecond);
    return std::clamp<Duration>(scaled, ShortestInterval, LongestInterval);
}

void StatusExchange::setFleet(std::size_t nodes, Duration interval)
{
    m_statusInterval = interval;
    m_accountRateLimiter.setNodes(nodes);
    m_accountRateLimiter.setReportInterval(interval);
    m_retryBudget.setNodes(nodes);
    m_retryBudget.setReportInterval(interval);
}

void StatusExchange::setAccounts(const std::vector<TrafficAccount> &accounts, TimePoint now)
{
    for (const auto &it : accounts) {
        m_accountRateLimiter.setLimit(it.name, limitOf(it), now);
    }
}

void StatusExchange::fillPeriodic(StatusFrame &status, TimePoint now)
{
    fill(status, m_nameTable, m_accountRateLimiter.takeReport(now), m_retryBudget.takeReport(now), m_treeAdmission.demand());
    status.crashes = m_crashTracker.takeReports();
    status.names = m_nameTable.takeNewNames(status.firstNameIndex);
}

void StatusExchange::fillInitial(StatusFrame &status, TimePoint now)
{
    fill(status, m_nameTable, m_accountRateLimiter.snapshot(now), m_retryBudget.snapshot(now), m_treeAdmission.demand());
    status.names = m_nameTable.names();
}

void StatusExchange::fillDigest(DigestFrame &digest, TimePoint now)
{
    NameTable names;
    digest.nodeCount = static_cast<std::uint32_t>(m_accountRateLimiter.reportingNodesInDataCentre(now));
    fill(digest.sums,
         names,
         m_accountRateLimiter.dataCentreReport(now),
         m_retryBudget.dataCentreReport(now),
         m_treeAdmission.dataCentreDemand(now));
    digest.sums.names = names.names();
}

void StatusExchange::fill(StatusFrame &status,
                          NameTable &names,
                          const std::vector<AccountUsage> &usage,
                          const std::vector<ServiceRetryUsage> &retries,
                          const DemandByService &demandByService)
{
    status.accountDemand.reserve(usage.size());
    for (const auto &it : usage) {
        status.accountDemand.push_back({ names.indexOf(it.account.text()),
                                         encodeTenths(it.demand),
                                         it.admitted,
                                         encodeDeficit(it.deficit),
                                         encodeTenths(it.unreported) });
    }
    status.retries.reserve(retries.size());
    for (const auto &it : retries) {
        status.retries.push_back({ names.indexOf(it.service.text()),
                                   encodeTenths(it.requests),
                                   encodeTenths(it.demand),
                                   it.retries,
                                   encodeDeficit(it.deficit) });
    }
    for (const auto &[service, ranks] : demandByService) {
        CallTreeDemand demand{ names.indexOf(service.text()), {} };
        for (const double it : ranks) {
            demand.milliSlots.push_back(static_cast<std::uint32_t>(it * Thousandths));
        }
        status.callTreeDemand.push_back(std::move(demand));
    }
}

bool StatusExchange::isUrgent() const
{
    return m_accountRateLimiter.reportIsUrgent() || m_retryBudget.reportIsUrgent();
}

bool StatusExchange::isDigestUrgent() const
{
    return m_accountRateLimiter.dataCentreReportIsUrgent() || m_retryBudget.dataCentreReportIsUrgent();
}

void StatusExchange::applyStatus(const NodeName &sender, const StatusFrame &status, TimePoint now)
{
    auto &names = m_namesByPeer[sender];
    const std::size_t end = std::min<std::size_t>(std::size_t(status.firstNameIndex) + status.names.size(), MaximumNamesPerPeer);
    if (names.size() < end) {
        names.resize(end);
    }
    for (std::size_t n = status.firstNameIndex; n < end; ++n) {
        names[n] = status.names[n - status.firstNameIndex];
    }
    applyReports({ sender }, names, status, now);
    applyCrashes(status);
}

bool StatusExchange::applyDigest(const DigestFrame &digest, TimePoint now)
{
    const auto [entry, added] = m_digestSources.try_emplace(digest.dataCentre);
    auto &source = entry->second;
    const bool sameSource = !added && source.relayAddress == digest.relayAddress && source.incarnation == digest.incarnation;
    if (sameSource ? digest.sequence <= source.sequence : !added && now - source.lastDigestAt <= m_statusInterval * RelayTimeoutIntervals) {
        return false;
    }
    if (!sameSource && !added) {
        forgetReporter(source.reporter());
    }
    source = { digest.relayAddress, digest.incarnation, digest.sequence, now };
    applyReports({ source.reporter(), digest.nodeCount, false }, digest.sums.names, digest.sums, now);
    return true;
}

NodeName StatusExchange::DigestSource::reporter() const
{
    return NodeName("relay " + relayAddress + " " + std::to_string(incarnation));
}

void StatusExchange::forgetReporter(const NodeName &name)
{
    m_accountRateLimiter.forgetReporter(name);
    m_retryBudget.forgetReporter(name);
    m_treeAdmission.forgetReporter(name);
}

void StatusExchange::applyCrashes(const StatusFrame &status)
{
    for (const auto &it : status.crashes) {
        m_crashTracker.merge(it);
    }
}

void StatusExchange::applyReports(const Reporter &reporter, const std::vector<std::string> &names, const StatusFrame &status, TimePoint now)
{
    std::vector<AccountUsage> usage;
    usage.reserve(status.accountDemand.size());
    for (const auto &it : status.accountDemand) {
        if (const auto *name = nameOf(names, it.account)) {
            usage.push_back(
                { AccountName(*name), it.deciRate / Tenths, it.admitted, decodeDeficit(it.deciDeficit), it.deciUnreported / Tenths });
        }
    }
    m_accountRateLimiter.applyReport(reporter, usage, now);
    std::vector<ServiceRetryUsage> retries;
    retries.reserve(status.retries.size());
    for (const auto &it : status.retries) {
        if (const auto *name = nameOf(names, it.service)) {
            retries.push_back(
                { ServiceName(*name), it.deciRequests / Tenths, it.deciRetryDemand / Tenths, it.retries, decodeDeficit(it.deciDeficit) });
        }
    }
    m_retryBudget.applyReport(reporter, retries, now);
    DemandByService demandByService;
    for (const auto &it : status.callTreeDemand) {
        const auto *name = nameOf(names, it.service);
        if (name == nullptr) {
            continue;
        }
        auto &ranks = demandByService[ServiceName(*name)];
        for (std::size_t n = 0; n < std::min(AdmissionRanks, it.milliSlots.size()); ++n) {
            ranks.at(n) = it.milliSlots[n] / Thousandths;
        }
    }
    m_treeAdmission.applyReport(reporter, demandByService, now);
}

void StatusExchange::retainNamesOf(const std::set<NodeName> &nodes)
{
    std::erase_if(m_namesByPeer, [&nodes](const auto &it) {
        return !nodes.contains(it.first);
    });
}

} // namespace Pimentohollow
