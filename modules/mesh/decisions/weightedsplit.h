#pragma once

#include "mesh/model/trafficrules.h"

#include <string>
#include <unordered_map>

namespace Pimentohollow
{

/**
 * Divides the requests of a route between its services by their weights, with a smooth weighted round-robin: each part is within one
 * request of its share at every moment, where a random choice would stray by several percent in short spans.
 */
class WeightedSplit
{
public:
    /** The service of the next request of @p route; nullptr for a route without services. */
    const ServiceName *next(const TrafficRoute &route);

private:
    struct Credits {
        std::vector<WeightedService> services;
        std::vector<double> credits;
    };
    std::unordered_map<RouteName, Credits> m_credits;
};

} // namespace Pimentohollow
