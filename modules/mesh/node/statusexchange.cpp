#include "mesh/node/statusexchange.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace Pimentohollow
{

namespace
{

/** Interval of a small fleet. */
constexpr std::chrono::milliseconds ShortestInterval(250);
/** Frames that a node sends per second in a data centre of medium size: the interval grows with it, so that the cost of a node doesn't. */
constexpr std::size_t FramesPerSecond = 80;
/** Less than half of the silence after which MeshLink gives a connection up, so that one late frame doesn't cost it. */
constexpr std::chrono::milliseconds LongestInterval(900);
/** A relay that wasn't heard for so many intervals is replaced by another one that sends digests. */
constexpr int RelaySilentIntervals = 2;
/** Names that are kept of another node: far more accounts and services than a fleet has. */
constexpr std::size_t MostNames = 100'000;
/** Rates and tokens travel in tenths, slots in thousandths. */
constexpr double Tenths = 10;
constexpr double Milli = 1000;

std::uint32_t encodeTenths(double value)
{
    return static_cast<std::uint32_t>(std::max(0.0, value) * Tenths);
}

/** One more than the tenths, so that 0 says that nothing is told. */
std::uint32_t encodeMissing(const std::optional<double> &missing)
{
    return missing ? encodeTenths(*missing) + 1 : 0;
}

std::optional<double> decodeMissing(std::uint32_t deciMissing)
{
    if (deciMissing == 0) {
        return std::nullopt;
    }
    return (deciMissing - 1) / Tenths;
}

/** The name with this number, or nullptr. */
const std::string *nameOf(const std::vector<std::string> &names, std::uint32_t number)
{
    return number < names.size() && !names[number].empty() ? &names[number] : nullptr;
}

} // namespace

StatusExchange::StatusExchange(AccountRateLimiter &accounts, ServiceRetryBudget &repeats, CallTreeAdmission &trees, CrashTracker &crashes)
    : m_accounts(accounts)
    , m_repeats(repeats)
    , m_trees(trees)
    , m_crashes(crashes)
{
}

Duration StatusExchange::intervalFor(std::size_t peers)
{
    const auto scaled = std::chrono::milliseconds(1000 * peers / FramesPerSecond);
    return std::clamp<Duration>(scaled, ShortestInterval, LongestInterval);
}

void StatusExchange::setFleet(std::size_t nodes, Duration interval)
{
    m_interval = interval;
    m_accounts.setNodes(nodes);
    m_accounts.setReportInterval(interval);
    m_repeats.setNodes(nodes);
    m_repeats.setReportInterval(interval);
}

void StatusExchange::setAccounts(const std::vector<TrafficAccount> &accounts, TimePoint now)
{
    for (const auto &it : accounts) {
        m_accounts.setLimit(it.name, limitOf(it), now);
    }
}

void StatusExchange::fillRegular(StatusFrame &status, TimePoint now)
{
    fill(status, m_names, m_accounts.takeReport(now), m_repeats.takeReport(now), m_trees.demand());
    status.crashes = m_crashes.takeReports();
    status.names = m_names.takeNew(status.firstName);
}

void StatusExchange::fillFirst(StatusFrame &status, TimePoint now)
{
    fill(status, m_names, m_accounts.snapshot(now), m_repeats.snapshot(now), m_trees.demand());
    status.names = m_names.names();
}

void StatusExchange::fillDigest(DigestFrame &digest, TimePoint now)
{
    NameList names;
    digest.nodes = static_cast<std::uint32_t>(m_accounts.reportingNodesInDataCentre(now));
    fill(digest.sums, names, m_accounts.dataCentreReport(now), m_repeats.dataCentreReport(now), m_trees.dataCentreDemand(now));
    digest.sums.names = names.names();
}

void StatusExchange::fill(StatusFrame &status,
                          NameList &names,
                          const std::vector<AccountUsage> &spending,
                          const std::vector<ServiceRetryUsage> &repeats,
                          const TreeDemands &trees)
{
    status.demand.reserve(spending.size());
    for (const auto &it : spending) {
        status.demand.push_back({ names.number(it.account.text()),
                                  encodeTenths(it.demand),
                                  it.admitted,
                                  encodeMissing(it.deficit),
                                  encodeTenths(it.unreported) });
    }
    status.repeats.reserve(repeats.size());
    for (const auto &it : repeats) {
        status.repeats.push_back(
            { names.number(it.service.text()), encodeTenths(it.requests), encodeTenths(it.demand), it.retries, encodeMissing(it.deficit) });
    }
    for (const auto &[service, ranks] : trees) {
        TreeDemand demand{ names.number(service.text()), {} };
        for (const double it : ranks) {
            demand.milliSlots.push_back(static_cast<std::uint32_t>(it * Milli));
        }
        status.trees.push_back(std::move(demand));
    }
}

bool StatusExchange::isUrgent() const
{
    return m_accounts.reportIsUrgent() || m_repeats.reportIsUrgent();
}

bool StatusExchange::isDigestUrgent() const
{
    return m_accounts.dataCentreReportIsUrgent() || m_repeats.dataCentreReportIsUrgent();
}

void StatusExchange::take(const NodeName &sender, const StatusFrame &status, TimePoint now)
{
    auto &names = m_peerNames[sender];
    const std::size_t end = std::min<std::size_t>(std::size_t(status.firstName) + status.names.size(), MostNames);
    if (names.size() < end) {
        names.resize(end);
    }
    for (std::size_t n = status.firstName; n < end; ++n) {
        names[n] = status.names[n - status.firstName];
    }
    takeReports({ sender }, names, status, now);
    takeCrashes(status);
}

bool StatusExchange::takeDigest(const DigestFrame &digest, TimePoint now)
{
    const auto [entry, added] = m_sources.try_emplace(digest.dataCentre);
    auto &source = entry->second;
    const bool sameSource = !added && source.relay == digest.relay && source.incarnation == digest.incarnation;
    if (sameSource ? digest.sequence <= source.sequence : !added && now - source.heardAt <= m_interval * RelaySilentIntervals) {
        return false;
    }
    if (!sameSource && !added) {
        forgetReporter(source.reporter());
    }
    source = { digest.relay, digest.incarnation, digest.sequence, now };
    takeReports({ source.reporter(), digest.nodes, false }, digest.sums.names, digest.sums, now);
    return true;
}

NodeName StatusExchange::Source::reporter() const
{
    return NodeName("relay " + relay + " " + std::to_string(incarnation));
}

void StatusExchange::forgetReporter(const NodeName &name)
{
    m_accounts.forgetReporter(name);
    m_repeats.forgetReporter(name);
    m_trees.forgetReporter(name);
}

void StatusExchange::takeCrashes(const StatusFrame &status)
{
    for (const auto &it : status.crashes) {
        m_crashes.merge(it);
    }
}

void StatusExchange::takeReports(const Reporter &reporter, const std::vector<std::string> &names, const StatusFrame &status, TimePoint now)
{
    std::vector<AccountUsage> spending;
    spending.reserve(status.demand.size());
    for (const auto &it : status.demand) {
        if (const auto *name = nameOf(names, it.account)) {
            spending.push_back(
                { AccountName(*name), it.deciRate / Tenths, it.admitted, decodeMissing(it.deciMissing), it.deciUnseen / Tenths });
        }
    }
    m_accounts.applyReport(reporter, spending, now);
    std::vector<ServiceRetryUsage> repeats;
    repeats.reserve(status.repeats.size());
    for (const auto &it : status.repeats) {
        if (const auto *name = nameOf(names, it.service)) {
            repeats.push_back(
                { ServiceName(*name), it.deciRequests / Tenths, it.deciDemand / Tenths, it.repeats, decodeMissing(it.deciMissing) });
        }
    }
    m_repeats.applyReport(reporter, repeats, now);
    TreeDemands trees;
    for (const auto &it : status.trees) {
        const auto *name = nameOf(names, it.service);
        if (name == nullptr) {
            continue;
        }
        auto &ranks = trees[ServiceName(*name)];
        for (std::size_t n = 0; n < std::min(AdmissionRanks, it.milliSlots.size()); ++n) {
            ranks.at(n) = it.milliSlots[n] / Milli;
        }
    }
    m_trees.applyReport(reporter, trees, now);
}

void StatusExchange::keepNamesOf(const std::set<NodeName> &nodes)
{
    std::erase_if(m_peerNames, [&nodes](const auto &it) {
        return !nodes.contains(it.first);
    });
}

} // namespace Pimentohollow
