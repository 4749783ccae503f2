#include "membership/protocol/memberview.h"

#include <algorithm>
#include <utility>

namespace Pimentohollow
{

namespace
{
/** Verdicts on crash fingerprints expire after this time, so that older entries can't come back as news either. */
constexpr Duration FingerprintMemoryTime = std::chrono::minutes(10);
/** Covers the exchanges that repeat a withdrawal on a link. */
constexpr Duration RecentWithdrawalTime = std::chrono::seconds(10);
} // namespace

MemberView::MemberView(const MembershipSettings &settings)
    : m_settings(settings)
    , m_self{ settings.node, settings.dataCentre, settings.address, MemberState::Alive, settings.incarnation, 0 }
    , m_localUpstream(settings.node, settings.dataCentre, settings.incarnation)
{
    m_table.merge(m_self, TimePoint{});
}

void MemberView::apply(const GossipUpdate &update, TimePoint now)
{
    if (const auto *member = std::get_if<MemberUpdate>(&update)) {
        applyMember(*member, now);
    } else if (const auto *upstream = std::get_if<UpstreamRecord>(&update)) {
        applyUpstream(*upstream, now);
    } else if (const auto *withdrawal = std::get_if<WithdrawalUpdate>(&update)) {
        applyWithdrawal(*withdrawal, now);
    } else {
        applyFingerprint(std::get<FingerprintEntry>(update), now);
    }
}

void MemberView::suspect(const NodeName &node, TimePoint now)
{
    const auto *member = m_table.find(node);
    if (member == nullptr || member->update.state >= MemberState::Suspected) {
        return;
    }
    auto update = member->update;
    update.state = MemberState::Suspected;
    applyMember(update, now);
}

void MemberView::expireSuspicions(TimePoint now)
{
    std::vector<NodeName> expired;
    for (const auto &[node, deadline] : m_suspicions) {
        if (now >= deadline) {
            expired.push_back(node);
        }
    }
    for (const auto &it : expired) {
        m_suspicions.erase(it);
        auto update = m_table.find(it)->update;
        update.state = MemberState::Failed;
        applyMember(update, now);
    }
}

void MemberView::extendSuspicions(Duration pause)
{
    for (auto &[node, deadline] : m_suspicions) {
        deadline += pause;
    }
}

std::vector<NodeName> MemberView::removeDead(TimePoint limit)
{
    std::erase_if(m_fingerprints, [limit](const auto &it) {
        return it.second.seenAt + FingerprintMemoryTime < limit;
    });
    return m_table.removeDead(limit);
}

void MemberView::raiseIncarnation(TimePoint now)
{
    ++m_self.incarnation;
    publishSelf(now);
}

void MemberView::setShares(std::uint8_t shares, TimePoint now)
{
    if (m_self.shares != shares) {
        m_self.shares = shares;
        raiseIncarnation(now);
    }
}

void MemberView::setOwnState(MemberState state, TimePoint now)
{
    if (m_self.state != state) {
        m_self.state = state;
        raiseIncarnation(now);
    }
}

void MemberView::setUpstream(const std::optional<UpstreamRecord> &record, TimePoint now)
{
    if (record) {
        applyUpstream(*record, now);
    }
}

const MemberUpdate &MemberView::self() const
{
    return m_self;
}

const MemberTable &MemberView::table() const
{
    return m_table;
}

LocalUpstream &MemberView::localUpstream()
{
    return m_localUpstream;
}

WithdrawalSet &MemberView::withdrawals()
{
    return m_withdrawals;
}

const WithdrawalSet &MemberView::withdrawals() const
{
    return m_withdrawals;
}

UpdateQueue &MemberView::queue()
{
    return m_queue;
}

std::vector<WithdrawalUpdate> MemberView::withdrawalsSince(TimePoint since) const
{
    std::vector<WithdrawalUpdate> result;
    for (const auto &it : m_recentWithdrawals) {
        if (it.at >= since) {
            result.push_back(it.withdrawal);
        }
    }
    return result;
}

std::vector<const Member *> MemberView::neighbours() const
{
    return m_table.reachableMembers(m_settings.dataCentre, m_settings.node);
}

bool MemberView::takeLinkNews()
{
    return std::exchange(m_linkNews, false);
}

std::vector<MembershipEvent> MemberView::takeEvents()
{
    return std::exchange(m_events, {});
}

void MemberView::report(MembershipEvent event)
{
    m_events.push_back(std::move(event));
}

void MemberView::applyMember(const MemberUpdate &update, TimePoint now)
{
    if (update.node == m_settings.node) {
        object(update, now);
        return;
    }
    const auto *known = m_table.find(update.node);
    const auto before = known == nullptr ? std::nullopt : std::optional<Member>(*known);
    if (!m_table.merge(update, now)) {
        return;
    }
    m_queue.add(update, UpdateUrgency::State);
    const bool own = update.dataCentre == m_settings.dataCentre;
    m_linkNews = m_linkNews || own;
    if (own && update.state == MemberState::Suspected) {
        m_suspicions[update.node] = now + m_settings.timing.suspicionTimeout;
    } else {
        m_suspicions.erase(update.node);
    }
    reportMember(update, before ? &*before : nullptr);
}

void MemberView::applyUpstream(const UpstreamRecord &record, TimePoint now)
{
    if (record.node == m_settings.node) {
        const auto &own = m_localUpstream.record();
        if (!own || record.sequence > own->sequence) {
            setUpstream(m_localUpstream.raiseSequence(record.sequence), now);
            return;
        }
    }
    const auto merged = m_table.merge(record, now);
    if (merged == UpstreamMerge::Old) {
        return;
    }
    const bool state = merged == UpstreamMerge::StateChanged;
    m_queue.add(record, state ? UpdateUrgency::State : UpdateUrgency::Load);
    m_linkNews = m_linkNews || (state && record.dataCentre == m_settings.dataCentre);
    const auto *member = m_table.find(record.node);
    if (member == nullptr || member->reachable()) {
        report(UpstreamChanged{ record });
    }
}

void MemberView::applyWithdrawal(const WithdrawalUpdate &withdrawal, TimePoint now)
{
    if (!m_withdrawals.add(withdrawal)) {
        return;
    }
    std::erase_if(m_recentWithdrawals, [now](const Recent &it) {
        return it.at + RecentWithdrawalTime < now;
    });
    m_recentWithdrawals.push_back({ withdrawal, now });
    m_queue.add(withdrawal, UpdateUrgency::State);
    m_linkNews = true;
    report(WithdrawalsReceived{ { withdrawal } });
}

void MemberView::applyFingerprint(const FingerprintEntry &entry, TimePoint now)
{
    const auto [it, isNew] = m_fingerprints.emplace(entry.fingerprint, FingerprintMemory{ entry.sequence, now });
    if (!isNew && entry.sequence <= it->second.sequence) {
        return;
    }
    it->second = { entry.sequence, now };
    m_queue.add(entry, UpdateUrgency::State);
    report(FingerprintReceived{ entry });
}

void MemberView::object(const MemberUpdate &update, TimePoint now)
{
    const bool stale = update.incarnation < m_self.incarnation;
    if (stale || update == m_self) {
        return;
    }
    m_self.incarnation = update.incarnation;
    raiseIncarnation(now);
}

void MemberView::publishSelf(TimePoint now)
{
    m_table.merge(m_self, now);
    m_queue.add(m_self, UpdateUrgency::State);
    m_linkNews = true;
}

void MemberView::reportMember(const MemberUpdate &update, const Member *before)
{
    const bool wasReachable = before != nullptr && before->reachable();
    const bool reachable = update.state < MemberState::Failed;
    if (reachable != wasReachable) {
        report(reachable ? MembershipEvent(MemberJoined{ update }) : MembershipEvent(MemberLeft{ update }));
        reportUpstreamOf(update.node, reachable);
    } else if (update.state == MemberState::Suspected && before != nullptr && before->update.state != MemberState::Suspected) {
        report(MemberSuspected{ update });
    } else if (reachable) {
        report(MemberChanged{ update });
    }
}

void MemberView::reportUpstreamOf(const NodeName &node, bool reachable)
{
    const auto *upstream = m_table.findUpstream(node);
    if (upstream == nullptr) {
        return;
    }
    auto record = upstream->record;
    record.state = reachable ? record.state : UpstreamState::Gone;
    report(UpstreamChanged{ record });
}

} // namespace Pimentohollow
