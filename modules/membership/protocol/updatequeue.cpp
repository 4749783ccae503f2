#include "membership/protocol/updatequeue.h"

#include "messages/gossip/datagramcodec.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace Pimentohollow
{

namespace
{

/** With three receivers per round, this factor leaves less than one node in a thousand to the next digest. */
constexpr std::size_t StateRepeatFactor = 4;
constexpr std::size_t LoadRepeats = 2;

struct KeyVisitor {
    std::string operator()(const MemberUpdate &it) const
    {
        return "m" + it.node.text();
    }
    std::string operator()(const UpstreamRecord &it) const
    {
        return "u" + it.node.text();
    }
    std::string operator()(const WithdrawalUpdate &it) const
    {
        return "w" + it.keyId;
    }
    std::string operator()(const FingerprintEntry &it) const
    {
        return "f" + it.fingerprint;
    }
};

} // namespace

void UpdateQueue::add(const GossipUpdate &update, UpdateUrgency urgency)
{
    auto &entry = m_entries[std::visit(KeyVisitor(), update)];
    const bool isNew = entry.order == 0;
    // A newer load must not delay a change of state that is still being spread in the same record.
    const auto merged = isNew ? urgency : std::min(urgency, entry.urgency);
    if (!isNew && entry.urgency == UpdateUrgency::Load) {
        --m_loadCount;
    }
    const auto sent = merged == urgency ? 0 : entry.sent;
    entry = { update, DatagramCodec::updateBytes(update), merged, sent, ++m_order };
    if (merged == UpdateUrgency::Load && ++m_loadCount > MaximumLoadUpdates) {
        dropOldestLoad();
    }
}

std::vector<GossipUpdate> UpdateQueue::take(std::size_t bytes, std::size_t members)
{
    std::vector<std::map<std::string, Entry>::iterator> order;
    order.reserve(m_entries.size());
    for (auto it = m_entries.begin(); it != m_entries.end(); ++it) {
        order.push_back(it);
    }
    std::sort(order.begin(), order.end(), [](const auto &a, const auto &b) {
        const auto &x = a->second;
        const auto &y = b->second;
        return std::tie(x.urgency, x.sent, y.order) < std::tie(y.urgency, y.sent, x.order);
    });
    std::vector<GossipUpdate> result;
    for (const auto &it : order) {
        auto &entry = it->second;
        if (entry.bytes > bytes) {
            continue;
        }
        bytes -= entry.bytes;
        result.push_back(entry.update);
        if (++entry.sent >= repeats(entry.urgency, members)) {
            m_loadCount -= entry.urgency == UpdateUrgency::Load ? 1 : 0;
            m_entries.erase(it);
        }
    }
    return result;
}

bool UpdateQueue::hasUrgent() const
{
    return m_entries.size() > m_loadCount;
}

bool UpdateQueue::empty() const
{
    return m_entries.empty();
}

std::size_t UpdateQueue::repeats(UpdateUrgency urgency, std::size_t members)
{
    if (urgency == UpdateUrgency::Load) {
        return LoadRepeats;
    }
    return StateRepeatFactor * static_cast<std::size_t>(std::lround(std::ceil(std::log10(static_cast<double>(members) + 1.0))));
}

void UpdateQueue::dropOldestLoad()
{
    auto oldest = m_entries.end();
    for (auto it = m_entries.begin(); it != m_entries.end(); ++it) {
        const bool older = oldest == m_entries.end() || it->second.order < oldest->second.order;
        if (it->second.urgency == UpdateUrgency::Load && older) {
            oldest = it;
        }
    }
    if (oldest != m_entries.end()) {
        m_entries.erase(oldest);
        --m_loadCount;
    }
}

} // namespace Pimentohollow
