#include "quota/shares/sharetable.h"

#include <algorithm>
#include <cassert>
#include <fmt/format.h>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace Pimentohollow
{

namespace
{
constexpr Duration ConflictDelay = std::chrono::milliseconds(400);
constexpr Duration FailureDelay = std::chrono::seconds(2);
/** An open write is read back long before this many others have been sent. */
constexpr std::size_t RememberedWrites = 64;
} // namespace

ShareTable::ShareTable(ShareSettings settings, Random &random, QuotaFaults faults)
    : m_settings(std::move(settings))
    , m_random(random)
    , m_nodes{ m_settings.node }
    , m_faults(faults)
{
}

void ShareTable::setMembers(const std::vector<NodeName> &nodes)
{
    auto sorted = nodes;
    std::sort(sorted.begin(), sorted.end());
    if (sorted != m_nodes) {
        m_nodes = std::move(sorted);
        m_membersChanged = true;
    }
}

void ShareTable::setDataCentres(const std::vector<DataCentreName> &dataCentres)
{
    m_readNeeded = m_readNeeded || dataCentres != m_dataCentres;
    m_otherRowsFresh = m_otherRowsFresh && dataCentres == m_dataCentres;
    m_dataCentres = dataCentres;
}

void ShareTable::nodeRemoved(const NodeName &node)
{
    m_removedNodes.insert(node);
    m_readNeeded = true;
}

void ShareTable::drain(TimePoint now)
{
    m_draining = true;
    for (std::size_t n = 0; n < m_holdings.size(); ++n) {
        stop(n, now);
    }
}

bool ShareTable::drained() const
{
    return m_draining && std::none_of(m_holdings.begin(), m_holdings.end(), [](const Holding &it) {
               return it.held || it.stopped;
           });
}

std::optional<ShareAction> ShareTable::next(TimePoint now)
{
    if (m_actionOpen || now < m_notBefore || m_dataCentres.empty()) {
        return std::nullopt;
    }
    stopSurplus(now);
    if (readDue(now)) {
        m_actionOpen = true;
        return ReadShares{ ShareRow::key(m_settings.dataCentre) };
    }
    if (needsAllRows() && !m_otherRowsFresh) {
        m_actionOpen = true;
        return ReadAllShares{ ShareRow::Partition };
    }
    auto write = plan(now);
    const bool first = !m_row;
    if ((first && !belongs()) || (!first && write.row == *m_row)) {
        return std::nullopt;
    }
    write.sentAt = now;
    write.row.revision = first ? 1 : m_row->revision + 1;
    write.row.writer = fmt::format("{}/{}/{}", m_settings.node.text(), m_settings.incarnation, write.row.revision);
    const RowCondition condition = first ? RowCondition(RowAbsent{}) : RowCondition(AttributeEquals{ "revision", m_row->revision });
    WriteShares action{ { PutRow{ ShareRow::key(m_settings.dataCentre), write.row.toRow(), condition } }, {} };
    action.operations.insert(action.operations.end(), write.others.begin(), write.others.end());
    action.token = fmt::format("shares/{}/{:x}", write.row.writer, m_random.engine()());
    if (write.renewal > 0) {
        m_renewal = write.renewal;
        m_sent[write.renewal] = { now, write.waits };
        if (m_sent.size() > RememberedWrites) {
            m_sent.erase(m_sent.begin());
        }
    }
    m_openWrite = std::move(write);
    m_actionOpen = true;
    return action;
}

void ShareTable::onRead(const Result<std::optional<Row>> &result, TimePoint now)
{
    m_actionOpen = false;
    if (!result) {
        retryLater(now, FailureDelay);
        return;
    }
    m_readNeeded = false;
    m_readAt = now;
    if (!*result) {
        // An empty row, for the plan; the first write is conditional on its absence.
        m_row.reset();
        return;
    }
    const auto row = ShareRow::fromRow(**result);
    if (!row) {
        retryLater(now, FailureDelay);
        m_readNeeded = true;
        return;
    }
    adopt(*row, now);
}

void ShareTable::onReadAll(const Result<std::vector<KeyedRow>> &result, TimePoint now)
{
    m_actionOpen = false;
    if (!result) {
        retryLater(now, FailureDelay);
        return;
    }
    m_otherRows.clear();
    for (const auto &it : *result) {
        if (const auto row = ShareRow::fromRow(it.row); row && it.key.sort != m_settings.dataCentre.text()) {
            m_otherRows.emplace(DataCentreName(it.key.sort), *row);
        }
    }
    m_otherRowsFresh = true;
    if (!splitMayChange()) {
        m_otherRowsFresh = false;
        retryLater(now, FailureDelay);
    }
}

void ShareTable::onWritten(const Result<TransactionResult> &result, TimePoint now)
{
    assert(m_openWrite);
    m_actionOpen = false;
    const auto write = *std::exchange(m_openWrite, std::nullopt);
    m_otherRowsFresh = false;
    if (result && result->committed) {
        adopt(write.row, now);
        m_renewedAt = write.renewal > 0 ? write.sentAt : m_renewedAt;
        return;
    }
    // A conflict or a lost answer: what is true now is in the row.
    m_readNeeded = true;
    retryLater(now, result ? ConflictDelay : FailureDelay);
}

std::vector<ShareHolding> ShareTable::holdings() const
{
    std::vector<ShareHolding> result;
    if (!m_row || (!m_row->active && !m_faults.splitIgnored)) {
        return result;
    }
    for (std::size_t n = 0; n < m_holdings.size(); ++n) {
        const auto &it = m_holdings[n];
        if (it.held && !it.stopped) {
            result.push_back({ static_cast<std::uint8_t>(n), it.mintFrom, it.leaseEnd });
        }
    }
    return result;
}

std::uint32_t ShareTable::split() const
{
    const auto known = m_row && !m_faults.splitIgnored ? m_row->split : 0;
    return std::max({ std::uint32_t{ 1 }, configured(), known });
}

std::uint32_t ShareTable::index() const
{
    return static_cast<std::uint32_t>(std::count_if(m_dataCentres.begin(), m_dataCentres.end(), [this](const DataCentreName &it) {
        return it < m_settings.dataCentre;
    }));
}

std::vector<std::uint8_t> ShareTable::handOver(std::size_t count, TimePoint now) const
{
    std::vector<std::uint8_t> result;
    for (std::size_t n = 0; n < m_holdings.size() && result.size() < count; ++n) {
        if (m_holdings[n].stopped && quiet(m_holdings[n], now)) {
            result.push_back(static_cast<std::uint8_t>(n));
        }
    }
    return result;
}

void ShareTable::onHandedOver(const NodeName &giver, std::uint64_t incarnation, const std::vector<std::uint8_t> &shares)
{
    for (const auto it : shares) {
        if (it < SharesPerDataCentre) {
            m_handedOver[it] = { giver, incarnation };
        }
    }
    m_readNeeded = true;
}

std::size_t ShareTable::target() const
{
    if (m_draining || m_nodes.empty() || !belongs()) {
        return 0;
    }
    const auto weight = [](const NodeName &it) {
        return std::pair(XXH3_64bits(it.text().data(), it.text().size()), it);
    };
    const auto own = weight(m_settings.node);
    const auto rank = static_cast<std::size_t>(std::count_if(m_nodes.begin(), m_nodes.end(), [&](const NodeName &it) {
        return weight(it) < own;
    }));
    const auto remainder = SharesPerDataCentre % m_nodes.size();
    return SharesPerDataCentre / m_nodes.size() + (rank < remainder ? 1 : 0);
}

std::size_t ShareTable::held() const
{
    return static_cast<std::size_t>(std::count_if(m_holdings.begin(), m_holdings.end(), [](const Holding &it) {
        return it.held && !it.stopped;
    }));
}

const std::optional<ShareRow> &ShareTable::row() const
{
    return m_row;
}

void ShareTable::adopt(const ShareRow &row, TimePoint now)
{
    if (m_row && row.revision < m_row->revision) {
        return;
    }
    m_row = row;
    m_readAt = now;
    for (std::size_t n = 0; n < m_holdings.size(); ++n) {
        observe(n, now);
        adoptShare(n, now);
    }
    m_removedNodes.clear();
}

void ShareTable::observe(std::size_t share, TimePoint now)
{
    const auto &entry = m_row->entries[share];
    auto &observation = m_observations[share];
    if (observation.entry != entry || observation.since == TimePoint{}) {
        observation = { entry, now };
    }
    if (m_removedNodes.contains(entry.owner)) {
        m_removedOwners.emplace(entry.owner, entry.incarnation);
    }
}

void ShareTable::adoptShare(std::size_t share, TimePoint now)
{
    const auto &entry = m_row->entries[share];
    auto &holding = m_holdings[share];
    if (!isMine(entry)) {
        holding = {};
        if (!isHandedOver(share)) {
            m_handedOver.erase(share);
        }
        return;
    }
    m_handedOver.erase(share);
    const auto sent = m_sent.find(entry.renewal);
    if (holding.stopped || sent == m_sent.end()) {
        return;
    }
    if (!holding.held) {
        const bool wait = sent->second.waits.contains(share) && !m_faults.reclaimWithoutWaiting;
        holding.held = true;
        holding.mintFrom = wait ? now + m_settings.loanTime : now;
    }
    holding.leaseEnd = sent->second.at + m_settings.lease;
}

} // namespace Pimentohollow
