// The part of ShareTable that decides what the next write contains.
#include "quota/shares/sharetable.h"

#include <algorithm>

namespace Pimentohollow
{

namespace
{
/** While shares are missing or too many. */
constexpr Duration UnbalancedReadInterval = std::chrono::seconds(5);
/** Lets a restarted node come back before its shares are spread over the others. */
constexpr Duration MembersSettleTime = std::chrono::seconds(10);
/** A lease must have been seen unchanged for this much longer than its length, for clocks that run apart. */
constexpr int LeaseMarginPercent = 10;
} // namespace

bool ShareTable::isMine(const ShareEntry &entry) const
{
    return entry.owner == m_settings.node && entry.incarnation == m_settings.incarnation;
}

bool ShareTable::isPredecessor(const ShareEntry &entry) const
{
    return entry.host == m_settings.address.host && entry.port == m_settings.address.gossipPort
        && entry.incarnation != m_settings.incarnation;
}

bool ShareTable::isHandedOver(std::size_t share) const
{
    const auto it = m_handedOver.find(share);
    const auto &entry = m_row->entries[share];
    return it != m_handedOver.end() && it->second == std::pair(entry.owner, entry.incarnation);
}

bool ShareTable::mayTake(std::size_t share, TimePoint now, bool &wait) const
{
    const auto &entry = m_row->entries[share];
    wait = false;
    if (entry.free() || isHandedOver(share)) {
        return true;
    }
    if (isMine(entry)) {
        return false;
    }
    const auto margin = m_settings.lease * LeaseMarginPercent / 100;
    wait = isPredecessor(entry) || m_removedOwners.contains({ entry.owner, entry.incarnation });
    return wait || now - m_observations[share].since >= m_settings.lease + margin;
}

bool ShareTable::quiet(const Holding &holding, TimePoint now) const
{
    return now - holding.stoppedAt >= m_settings.loanTime;
}

bool ShareTable::readDue(TimePoint now) const
{
    if (m_readNeeded) {
        return true;
    }
    const bool balanced = m_row && held() == target();
    return now - m_readAt >= (balanced ? m_settings.renewal : std::min(UnbalancedReadInterval, m_settings.renewal));
}

bool ShareTable::needsAllRows() const
{
    return belongs() && (!m_row || !m_row->active || m_row->split > configured());
}

bool ShareTable::splitMayChange() const
{
    if (m_faults.splitIgnored) {
        return true;
    }
    for (const auto &[name, row] : m_otherRows) {
        const bool known = std::find(m_dataCentres.begin(), m_dataCentres.end(), name) != m_dataCentres.end();
        const bool owned = std::any_of(row.entries.begin(), row.entries.end(), [](const ShareEntry &it) {
            return !it.free();
        });
        if (known ? !row.dividesBy(configured()) : owned) {
            return false;
        }
    }
    return true;
}

std::uint32_t ShareTable::configured() const
{
    return static_cast<std::uint32_t>(m_dataCentres.size());
}

bool ShareTable::belongs() const
{
    return std::find(m_dataCentres.begin(), m_dataCentres.end(), m_settings.dataCentre) != m_dataCentres.end();
}

ShareTable::OpenWrite ShareTable::plan(TimePoint now)
{
    OpenWrite write;
    write.row = m_row.value_or(ShareRow{});
    planSplit(write);
    if (m_row) {
        planOwned(write, now);
        planTaken(write, now);
    }
    return write;
}

void ShareTable::planOwned(OpenWrite &write, TimePoint now) const
{
    const bool due = now - m_renewedAt >= m_settings.renewal;
    for (std::size_t n = 0; n < m_holdings.size(); ++n) {
        auto &entry = write.row.entries[n];
        const auto &holding = m_holdings[n];
        if (!isMine(entry)) {
            continue;
        }
        if (holding.stopped) {
            if (quiet(holding, now)) {
                entry = ShareEntry{ {}, {}, 0, 0, 0, entry.split };
            }
        } else if (due || !holding.held || entry.split != write.row.split) {
            claim(write, n);
        }
    }
}

void ShareTable::planTaken(OpenWrite &write, TimePoint now) const
{
    auto missing = target() > held() ? target() - held() : 0;
    for (std::size_t n = 0; n < m_holdings.size() && !m_draining && belongs(); ++n) {
        bool wait = false;
        if (isMine(write.row.entries[n]) || !mayTake(n, now, wait)) {
            continue;
        }
        if (wait) {
            // All shares of a dead owner, so that none stays idle; a surplus is given up after the loans have ended.
            write.waits.insert(n);
        } else if (missing == 0) {
            continue;
        } else {
            --missing;
        }
        claim(write, n);
    }
}

void ShareTable::planSplit(OpenWrite &write) const
{
    auto &row = write.row;
    row.split = std::max(row.split, configured());
    if (!belongs()) {
        return;
    }
    if (m_otherRowsFresh && needsAllRows() && splitMayChange()) {
        row.split = configured();
        row.active = true;
        planOthers(write);
    }
}

void ShareTable::planOthers(OpenWrite &write) const
{
    for (const auto &[name, row] : m_otherRows) {
        const AttributeEquals unchanged{ "revision", row.revision };
        const bool known = std::find(m_dataCentres.begin(), m_dataCentres.end(), name) != m_dataCentres.end();
        if (known || !row.active) {
            write.others.emplace_back(CheckRow{ ShareRow::key(name), unchanged });
            continue;
        }
        // A removed data centre without owners is closed, so that nobody can mint there again unchecked.
        auto closed = row;
        closed.active = false;
        ++closed.revision;
        write.others.emplace_back(PutRow{ ShareRow::key(name), closed.toRow(), unchanged });
    }
    for (const auto &it : m_dataCentres) {
        if (it != m_settings.dataCentre && !m_otherRows.contains(it)) {
            ShareRow empty;
            empty.revision = 1;
            empty.split = configured();
            write.others.emplace_back(PutRow{ ShareRow::key(it), empty.toRow(), RowAbsent{} });
        }
    }
}

void ShareTable::claim(OpenWrite &write, std::size_t share) const
{
    write.renewal = m_renewal + 1;
    write.row.entries[share] = { m_settings.node,        m_settings.address.host, m_settings.address.gossipPort,
                                 m_settings.incarnation, write.renewal,           write.row.split };
}

void ShareTable::stopSurplus(TimePoint now)
{
    if (m_membersChanged) {
        m_membersChanged = false;
        m_membersChangedAt = now;
        m_readNeeded = true;
    }
    if (!m_draining && belongs() && now - m_membersChangedAt < MembersSettleTime) {
        return;
    }
    const auto wanted = target();
    for (std::size_t n = m_holdings.size(); n-- > 0 && held() > wanted;) {
        stop(n, now);
    }
}

void ShareTable::stop(std::size_t share, TimePoint now)
{
    auto &holding = m_holdings[share];
    if (holding.held && !holding.stopped) {
        holding.stopped = true;
        holding.stoppedAt = now;
    }
}

void ShareTable::retryLater(TimePoint now, Duration longest)
{
    // Random, so that nodes that collided don't collide again.
    m_notBefore = now + Duration(m_random.below(static_cast<std::uint64_t>(longest.count()))) + std::chrono::milliseconds(1);
}

} // namespace Pimentohollow
