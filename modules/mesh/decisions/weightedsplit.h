#pragma once

#include "mesh/model/trafficrules.h"

#include <string>
#include <unordered_map>

namespace Pimentohollow
{

/**
 * Divides the requests of a route among its services by weight, with smooth weighted round-robin. The count of each service deviates from
 * its share by at most one request per service of the route at all times, whereas a random choice would deviate by several percent over
 * short periods.
 */
class WeightedSplit
{
public:
    /** Returns the service of the next request of @p route; nullptr for a route without services. */
    const ServiceName *next(const TrafficRoute &route);

private:
    struct Credits {
        std::vector<WeightedService> services;
        std::vector<double> credits;
    };
    std::unordered_map<RouteName, Credits> m_credits;
};

} // namespace Pimentohollow
