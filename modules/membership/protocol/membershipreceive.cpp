// The receiving half of Membership.
#include "membership/protocol/membership.h"

#include <algorithm>

namespace Pimentohollow
{

namespace
{
/** Bounds the answers to peers whose set of withdrawals differs. */
constexpr Duration WithdrawalAnswerInterval = std::chrono::milliseconds(200);
/** Between two reports of the same higher version, so that a failed pull is tried from another peer. */
constexpr Duration VersionReportInterval = std::chrono::seconds(1);
constexpr Duration RelayTime = std::chrono::seconds(2);
} // namespace

void Membership::receive(const GossipEndpoint &from, const Datagram &datagram)
{
    const auto *sender = m_view.table().find(datagram.sender);
    if (datagram.sender == m_settings.node) {
        return;
    }
    if (sender != nullptr && sender->update.dataCentre != m_settings.dataCentre) {
        m_links.heard(sender->update.dataCentre, m_clock.now());
    }
    std::visit(
        [this, &from, &datagram](const auto &message) {
            handle(from, datagram, message);
        },
        datagram.message);
    tellSenderItsState(from, datagram.sender);
}

void Membership::handle(const GossipEndpoint &from, const Datagram &datagram, const Ping &message)
{
    applyAll(message.updates);
    if (message.target == m_settings.node) {
        Ack ack{ message.probe, m_settings.node, versions(), {} };
        ack.updates = updatesFor(ack);
        send(from, std::move(ack));
    }
    compareVersions(from, datagram.sender, message.versions);
}

void Membership::handle(const GossipEndpoint &from, const Datagram &datagram, const Ack &message)
{
    applyAll(message.updates);
    compareVersions(from, datagram.sender, message.versions);
    m_probes.answered(message.probe);
    if (const auto relay = m_relays.find(message.probe); relay != m_relays.end() && relay->second.target == message.target) {
        send(relay->second.requester, Ack{ relay->second.probe, message.target, versions(), {} });
        m_relays.erase(relay);
    }
    if (!m_refresh) {
        return;
    }
    const auto &probes = m_refresh->probes;
    // Only an answer to a probe sent after the pause is known to be fresh.
    if (std::find(probes.begin(), probes.end(), message.probe) != probes.end() && !m_refresh->needed) {
        m_refresh->needed = message.versions;
        checkRefresh(m_clock.now());
    }
}

void Membership::handle(const GossipEndpoint &from, const Datagram & /*datagram*/, const IndirectPing &message)
{
    const auto id = m_probes.nextId();
    m_relays[id] = { from, message.probe, message.target, m_clock.now() + RelayTime };
    send({ message.address.host, message.address.gossipPort }, Ping{ id, message.target, versions(), {} });
}

void Membership::handle(const GossipEndpoint &from, const Datagram &datagram, const Exchange &message)
{
    applyAll(message.updates);
    compareVersions(from, datagram.sender, message.versions);
}

void Membership::handle(const GossipEndpoint &from, const Datagram &datagram, const DataCentreDigest &message)
{
    if (message.sender.node == datagram.sender) {
        m_view.apply(message.sender, m_clock.now());
    }
    compareVersions(from, datagram.sender, message.versions);
    if (message.sender.dataCentre != m_settings.dataCentre) {
        m_links.heard(message.sender.dataCentre, m_clock.now());
    }
    sendTable(from, message.tables);
    if (message.answerWanted) {
        sendDigest(from, false);
    }
}

template <typename Message>
void Membership::handle(const GossipEndpoint &from, const Datagram &datagram, const Message &message)
{
    m_view.report(QuotaMessageReceived{ datagram.sender, from, message });
}

void Membership::applyAll(const std::vector<GossipUpdate> &updates)
{
    const auto now = m_clock.now();
    for (const auto &it : updates) {
        m_view.apply(it, now);
    }
    checkRefresh(now);
}

void Membership::compareVersions(const GossipEndpoint &from, const NodeName &sender, const VersionSummary &theirs)
{
    const auto now = m_clock.now();
    const auto ours = versions();
    if (theirs.configurationVersion > ours.configurationVersion) {
        const bool news = theirs.configurationVersion > m_reportedVersion || now - m_reportedVersionAt >= VersionReportInterval;
        const auto *member = m_view.table().find(sender);
        if (news && member != nullptr) {
            m_reportedVersion = theirs.configurationVersion;
            m_reportedVersionAt = now;
            m_view.report(HigherConfigurationVersion{ sender, member->update.address, theirs.configurationVersion });
        }
    }
    const bool sameSet = theirs.withdrawalCount == ours.withdrawalCount && theirs.withdrawalDigest == ours.withdrawalDigest;
    if (sameSet || ours.withdrawalCount == 0 || now - m_withdrawalsSentAt < WithdrawalAnswerInterval) {
        return;
    }
    m_withdrawalsSentAt = now;
    Exchange exchange{ ours, {} };
    for (auto &it : m_view.withdrawals().nextPart(DatagramCodec::freeBytes(m_settings.node, exchange))) {
        exchange.updates.emplace_back(std::move(it));
    }
    send(from, std::move(exchange));
}

void Membership::tellSenderItsState(const GossipEndpoint &from, const NodeName &sender)
{
    const auto *member = m_view.table().find(sender);
    if (member == nullptr || member->update.state < MemberState::Suspected || member->update.state == MemberState::Left) {
        return;
    }
    // The sender is alive after all; it objects with a higher incarnation.
    if (m_syncBudget.tryTake(DatagramCodec::updateBytes(member->update), m_clock.now())) {
        send(from, Exchange{ versions(), { member->update } });
    }
}

void Membership::sendTable(const GossipEndpoint &to, const std::vector<TableDigest> &theirs)
{
    std::vector<GossipUpdate> records;
    for (const auto &ours : m_view.table().digests()) {
        if (std::find(theirs.begin(), theirs.end(), ours) == theirs.end()) {
            const auto part = m_view.table().records(ours.dataCentre);
            records.insert(records.end(), part.begin(), part.end());
        }
    }
    if (records.empty()) {
        return;
    }
    // Different peers start at different places, so that their bounded answers complete each other.
    const auto start = static_cast<std::ptrdiff_t>(m_random.below(records.size()));
    std::rotate(records.begin(), records.begin() + start, records.end());
    Exchange exchange{ versions(), {} };
    const auto room = DatagramCodec::freeBytes(m_settings.node, exchange);
    std::size_t bytes = 0;
    for (auto &it : records) {
        const auto size = DatagramCodec::updateBytes(it);
        if (bytes + size > room) {
            if (!m_syncBudget.tryTake(bytes, m_clock.now())) {
                return;
            }
            send(to, exchange);
            exchange.updates.clear();
            bytes = 0;
        }
        bytes += size;
        exchange.updates.push_back(std::move(it));
    }
    if (m_syncBudget.tryTake(bytes, m_clock.now())) {
        send(to, std::move(exchange));
    }
}

void Membership::sendDigest(const GossipEndpoint &to, bool answerWanted)
{
    send(to, DataCentreDigest{ m_view.self(), versions(), m_view.table().digests(), answerWanted });
}

} // namespace Pimentohollow
