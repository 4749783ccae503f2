#include "configuration/changes/configurationtracker.h"

namespace Pimentohollow
{

std::uint64_t ConfigurationTracker::version() const
{
    const auto current = view();
    return current ? current->version() : 0;
}

std::shared_ptr<const FleetView> ConfigurationTracker::view() const
{
    const std::lock_guard lock(m_viewMutex);
    return m_view;
}

TrackerUpdate ConfigurationTracker::adopt(const VersionedFleet &fleet)
{
    const std::lock_guard lock(m_updateMutex);
    if (fleet.version <= version()) {
        return { version(), false, {} };
    }
    if (auto findings = checkFleet(fleet.fleet); !findings.empty()) {
        return { version(), false, std::move(findings) };
    }
    moveTo(fleet);
    m_kept.clear();
    m_keptBytes = 0;
    return { fleet.version, true, {} };
}

TrackerUpdate ConfigurationTracker::apply(const std::vector<FleetChange> &changes)
{
    const std::lock_guard lock(m_updateMutex);
    TrackerUpdate update;
    for (const auto &it : changes) {
        if (it.version <= version()) {
            continue;
        }
        if (!applyOne(it, update.findings)) {
            break;
        }
        update.moved = true;
    }
    update.version = version();
    return update;
}

TrackerUpdate ConfigurationTracker::accept(const ConfigurationTransfer &transfer)
{
    TrackerUpdate update{ version(), false, {} };
    if (transfer.documentVersion > update.version) {
        const auto fleet = parseFleet(transfer.document, "peer's document", DocumentScope::Complete);
        if (!fleet) {
            update.findings = fleet.error();
            return update;
        }
        update = adopt({ transfer.documentVersion, *fleet });
    }
    std::vector<FleetChange> changes;
    Findings malformed;
    for (const auto &it : transfer.changes) {
        auto change = parseChange(it, "peer's change");
        if (!change) {
            malformed = change.error();
            break;
        }
        changes.push_back(std::move(*change));
    }
    const TrackerUpdate applied = apply(changes);
    update.version = applied.version;
    update.moved = update.moved || applied.moved;
    update.findings.insert(update.findings.end(), applied.findings.begin(), applied.findings.end());
    update.findings.insert(update.findings.end(), malformed.begin(), malformed.end());
    return update;
}

ConfigurationTransfer ConfigurationTracker::transferAfter(std::uint64_t version, std::size_t maximumBytes) const
{
    ConfigurationTransfer transfer;
    std::shared_ptr<const FleetView> current;
    {
        const std::lock_guard lock(m_updateMutex);
        current = view();
        if (!current || version >= current->version()) {
            return transfer;
        }
        if (!m_kept.empty() && m_kept.front().version <= version + 1) {
            std::size_t bytes = 0;
            for (std::size_t n = version + 1 - m_kept.front().version; n < m_kept.size(); ++n) {
                bytes += m_kept[n].text.size();
                if (!transfer.changes.empty() && bytes > maximumBytes) {
                    break;
                }
                transfer.changes.push_back(m_kept[n].text);
            }
            return transfer;
        }
    }
    // Written without the lock, because a large document takes some milliseconds.
    transfer.documentVersion = current->version();
    transfer.document = writeFleet(current->fleet());
    return transfer;
}

void ConfigurationTracker::moveTo(const VersionedFleet &fleet)
{
    auto next = std::make_shared<const FleetView>(fleet.version, fleet.fleet);
    const std::lock_guard lock(m_viewMutex);
    m_view = std::move(next);
}

void ConfigurationTracker::keep(const FleetChange &change)
{
    m_kept.push_back({ change.version, writeChange(change) });
    m_keptBytes += m_kept.back().text.size();
    while (m_keptBytes > KeptChangeBytes) {
        m_keptBytes -= m_kept.front().text.size();
        m_kept.pop_front();
    }
}

bool ConfigurationTracker::applyOne(const FleetChange &change, Findings &findings)
{
    const auto current = view();
    const VersionedFleet base{ version(), current ? current->fleet() : FleetConfiguration() };
    const auto next = applyChange(base, change);
    if (!next) {
        findings = next.error();
        return false;
    }
    moveTo(*next);
    keep(change);
    return true;
}

} // namespace Pimentohollow
