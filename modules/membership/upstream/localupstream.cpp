#include "membership/upstream/localupstream.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace Pimentohollow
{

namespace
{

/** Smaller changes of load are left to the load that answers carry. */
constexpr std::uint32_t LoadChangePercent = 20;
constexpr int AdmittedChangePercent = 5;

bool differs(std::uint32_t before, std::uint32_t after)
{
    const auto change = before > after ? before - after : after - before;
    return change * 100 > std::max(before, after) * LoadChangePercent;
}

bool admittedDiffers(std::uint8_t before, std::uint8_t after)
{
    const bool limited = (before == 100) != (after == 100);
    return limited || std::abs(int{ before } - int{ after }) >= AdmittedChangePercent;
}

} // namespace

LocalUpstream::LocalUpstream(NodeName node, DataCentreName dataCentre, std::uint64_t firstSequence)
    : m_node(std::move(node))
    , m_dataCentre(std::move(dataCentre))
    , m_sequence(firstSequence)
{
}

std::optional<UpstreamRecord> LocalUpstream::announce(const UpstreamAnnouncement &announcement, TimePoint now)
{
    m_lastAnnounced = now;
    const auto state = m_draining && announcement.state < UpstreamState::Draining ? UpstreamState::Draining : announcement.state;
    if (!m_record) {
        m_record.emplace();
        m_record->node = m_node;
        m_record->dataCentre = m_dataCentre;
    } else if (m_record->service == announcement.service && m_record->state == state && m_record->incarnation == announcement.incarnation) {
        return std::nullopt;
    }
    m_record->service = announcement.service;
    m_record->state = state;
    m_record->incarnation = announcement.incarnation;
    return changed();
}

std::optional<UpstreamRecord> LocalUpstream::report(const UpstreamLoad &load)
{
    if (!m_record || !worthTelling(*m_record, load)) {
        return std::nullopt;
    }
    m_record->concurrencyLimit = load.concurrencyLimit;
    m_record->inFlight = load.inFlight;
    m_record->queued = load.queued;
    m_record->normalAdmittedPercent = load.normalAdmittedPercent;
    m_record->importantAdmittedPercent = load.importantAdmittedPercent;
    return changed();
}

std::optional<UpstreamRecord> LocalUpstream::drain()
{
    m_draining = true;
    if (!m_record || m_record->state >= UpstreamState::Draining) {
        return std::nullopt;
    }
    m_record->state = UpstreamState::Draining;
    return changed();
}

std::optional<UpstreamRecord> LocalUpstream::tick(TimePoint now)
{
    if (!m_record || m_record->state == UpstreamState::Gone || now - m_lastAnnounced <= LapseTime) {
        return std::nullopt;
    }
    m_record->state = UpstreamState::Gone;
    return changed();
}

const std::optional<UpstreamRecord> &LocalUpstream::record() const
{
    return m_record;
}

std::optional<UpstreamRecord> LocalUpstream::raiseSequence(std::uint64_t known)
{
    if (known <= m_sequence) {
        return std::nullopt;
    }
    m_sequence = known;
    return m_record ? changed() : std::nullopt;
}

std::optional<UpstreamRecord> LocalUpstream::changed()
{
    m_record->sequence = ++m_sequence;
    return m_record;
}

bool LocalUpstream::worthTelling(const UpstreamRecord &record, const UpstreamLoad &load)
{
    return differs(record.concurrencyLimit, load.concurrencyLimit) || differs(record.inFlight, load.inFlight)
        || differs(record.queued, load.queued) || admittedDiffers(record.normalAdmittedPercent, load.normalAdmittedPercent)
        || admittedDiffers(record.importantAdmittedPercent, load.importantAdmittedPercent);
}

} // namespace Pimentohollow
