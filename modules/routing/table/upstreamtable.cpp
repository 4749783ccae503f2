#include "routing/table/upstreamtable.h"

#include <algorithm>
#include <utility>

namespace Pimentohollow
{

UpstreamTable::UpstreamTable(DataCentreName ownDataCentre)
    : m_ownDataCentre(std::move(ownDataCentre))
{
}

bool UpstreamTable::apply(const UpstreamRecord &record, TimePoint now)
{
    auto &upstream = m_upstreams[record.node];
    const bool isNew = !upstream;
    if (isNew) {
        upstream = std::make_unique<Upstream>();
    } else if (record.sequence <= upstream->record.sequence) {
        return false;
    }
    const auto previous = std::exchange(upstream->record, record);
    const bool restarted = isNew || record.incarnation != previous.incarnation;
    if (restarted) {
        upstream->health = UpstreamHealth();
    }
    if (record.state == UpstreamState::Starting && (restarted || previous.state != UpstreamState::Starting)) {
        upstream->slowStart.restart(now);
    }
    const auto seen = record.inFlight + record.queued;
    upstream->othersInFlight = seen > upstream->ownInFlight ? seen - upstream->ownInFlight : 0;
    if (isNew || previous.service != record.service || previous.dataCentre != record.dataCentre || previous.state != record.state) {
        rebuild(record.service);
    }
    if (!isNew && previous.service != record.service) {
        rebuild(previous.service);
    }
    return true;
}

void UpstreamTable::remove(const NodeName &node)
{
    const auto it = m_upstreams.find(node);
    if (it == m_upstreams.end()) {
        return;
    }
    const auto service = it->second->record.service;
    m_upstreams.erase(it);
    rebuild(service);
}

void UpstreamTable::callStarted(const NodeName &node)
{
    if (auto *upstream = find(node)) {
        ++upstream->ownInFlight;
    }
}

void UpstreamTable::callEnded(const NodeName &node)
{
    auto *upstream = find(node);
    if (upstream && upstream->ownInFlight > 0) {
        --upstream->ownInFlight;
    }
}

void UpstreamTable::setReachable(const NodeName &node, bool reachable)
{
    if (auto *upstream = find(node)) {
        upstream->reachable = reachable;
    }
}

Upstream *UpstreamTable::find(const NodeName &node)
{
    const auto it = m_upstreams.find(node);
    return it == m_upstreams.end() ? nullptr : it->second.get();
}

const Upstream *UpstreamTable::find(const NodeName &node) const
{
    const auto it = m_upstreams.find(node);
    return it == m_upstreams.end() ? nullptr : it->second.get();
}

const ServiceUpstreams &UpstreamTable::service(const ServiceName &service) const
{
    static const ServiceUpstreams None;
    const auto it = m_services.find(service);
    return it == m_services.end() ? None : it->second;
}

void UpstreamTable::rebuild(const ServiceName &service)
{
    ServiceUpstreams upstreams;
    for (const auto &[node, it] : m_upstreams) {
        if (it->record.service != service || !it->takesNewWork()) {
            continue;
        }
        auto &list = it->record.dataCentre == m_ownDataCentre ? upstreams.local : upstreams.remote;
        list.push_back(it.get());
    }
    // The order of the hash table must not decide which random draw means which upstream.
    const auto byNode = [](const Upstream *a, const Upstream *b) {
        return a->record.node < b->record.node;
    };
    std::sort(upstreams.local.begin(), upstreams.local.end(), byNode);
    std::sort(upstreams.remote.begin(), upstreams.remote.end(), byNode);
    if (upstreams.size() == 0) {
        m_services.erase(service);
        return;
    }
    m_services[service] = std::move(upstreams);
}

} // namespace Pimentohollow
