#pragma once

#include "core/clock.h"
#include "core/names.h"

#include <cstdint>
#include <unordered_map>

namespace Pimentohollow
{

/** This node's part of the repeats that a service may get. */
struct RetryAllowanceSettings {
    /** Repeats for each first request. */
    double ratio = 0.08;
    /** Repeats that may be saved up, at least. */
    double slack = 1;
    Duration window = std::chrono::seconds(10);
};

/**
 * Bounds the repeats that each service gets from this node to a share of the first requests, so that the sum over all nodes stays within
 * the budget of the fleet without any exchange between them. Repeats of whole subtrees are charged as well and may put the allowance into
 * debt.
 */
class RetryAllowance
{
public:
    explicit RetryAllowance(RetryAllowanceSettings settings);

    void setSlack(double slack);
    void recordRequest(const ServiceName &service, TimePoint now);
    /**
     * Takes the right to one repeat; false if it is used up. Less urgent ranks leave a part of it to the more urgent ones: when an upstream
     * rejects half of its requests, repeats for large, less urgent trees would use up all and still save few of them.
     * @param makesCalls the repeat makes the calls of the request again, which count as repeats at the services below
     */
    bool tryRepeat(const ServiceName &service, std::uint32_t rank, bool makesCalls, TimePoint now);
    /** Counts a repeat that can't be avoided: a call of a request that itself runs again. */
    void charge(const ServiceName &service, TimePoint now);

private:
    struct Account {
        double tokens = 0;
        /** Requests per window, a moving average. */
        double requests = 0;
        TimePoint updated{};
    };
    Account &account(const ServiceName &service, TimePoint now);
    double capacity(const Account &account) const;

    RetryAllowanceSettings m_settings;
    std::unordered_map<ServiceName, Account> m_accounts;
};

} // namespace Pimentohollow
