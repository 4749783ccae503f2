#include "mesh/decisions/weightedsplit.h"

namespace Pimentohollow
{

const ServiceName *WeightedSplit::next(const TrafficRoute &route)
{
    if (route.services.empty()) {
        return nullptr;
    }
    if (route.services.size() == 1) {
        return &route.services.front().service;
    }
    auto &entry = m_credits[route.name];
    if (entry.services != route.services) {
        entry = { route.services, std::vector<double>(route.services.size(), 0) };
    }
    double total = 0;
    std::size_t chosen = 0;
    for (std::size_t n = 0; n < route.services.size(); ++n) {
        total += route.services[n].weight;
        entry.credits[n] += route.services[n].weight;
        if (entry.credits[n] > entry.credits[chosen]) {
            chosen = n;
        }
    }
    entry.credits[chosen] -= total;
    return &route.services[chosen].service;
}

} // namespace Pimentohollow
