#pragma once

#include "admission/shareestimator.h"
#include "core/names.h"

#include <array>
#include <unordered_map>

namespace Pimentohollow
{

/**
 * Refuses requests at the top of a call chain that a deeper service would refuse, before any service works on them.
 *
 * The reported share is turned into a rate and divided between the client accounts by weighted max-min fair shares,
 * so that an account that sends too much doesn't use up the share of the others. Deterministic: each account
 * accumulates credit and a request is let through for each whole unit.
 */
class DownstreamGate
{
public:
    /** Sets the weight of an account, as in FairQueue. */
    void setWeight(const AccountName &account, double weight);

    /** Sets the smallest shares among the services below a route. No normal request passes while important ones are thinned. */
    void setShares(const RouteName &route, AdmittedShares shares);

    AdmittedShares shares(const RouteName &route) const;

    /** Whether the request may go on; counts it as demand either way. */
    bool admit(const RouteName &route, const AccountName &account, Priority priority, TimePoint now);

private:
    struct Demand {
        double arrivals = 0;
        /** Moving average of arrivals per window. */
        double mean = 0;
        /** Share of this account's requests that pass. */
        double passes = 1.0;
        double credit = 0;
    };
    using Demands = std::unordered_map<AccountName, Demand>;
    struct Route {
        AdmittedShares shares;
        std::array<Demands, 2> demands;
        TimePoint windowStart{};
    };

    void roll(Route &route, TimePoint now);
    void divide(Demands &demands, double share) const;
    double weight(const AccountName &account) const;

    std::unordered_map<RouteName, Route> m_routes;
    std::unordered_map<AccountName, double> m_weights;
};

} // namespace Pimentohollow
