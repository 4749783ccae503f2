#pragma once

#include "configuration/fleet/fleetview.h"
#include "keys/keytable.h"
#include "node/interfaces/claimservice.h"
#include "node/interfaces/keysource.h"
#include "node/interfaces/quotaservice.h"
#include "node/interfaces/routesource.h"
#include "runtime/claims/claimtask.h"
#include "runtime/quota/quotatask.h"

#include <atomic>
#include <memory>
#include <mutex>

namespace Pimentohollow
{

/** Routes of the configuration version in force. */
class FleetRoutes : public RouteSource
{
public:
    explicit FleetRoutes(const Clock &clock);

    /** Puts a version into force; requests that are being served keep the values they have. */
    void replace(std::shared_ptr<const FleetView> view);

    /** Null before the first version. */
    std::shared_ptr<const FleetView> view() const;

    /** Whether this node has been cut off from everything for longer than an exception allows. */
    void setCutOff(bool cutOff);

    bool ready() const override;
    std::optional<RouteMatch> match(std::string_view method, std::string_view path) const override;
    RouteLimits limits(const RouteName &route, const AccountName &account) const override;

private:
    const Clock &m_clock;
    mutable std::mutex m_mutex;
    std::shared_ptr<const FleetView> m_view;
    std::atomic<bool> m_cutOff{ false };
};

/** Keys of the configuration and the withdrawals. */
class FleetKeys : public KeySource
{
public:
    explicit FleetKeys(const KeyTable &table);

    std::optional<AccountName> accountOf(std::string_view key) const override;

private:
    const KeyTable &m_table;
};

/** Tokens of the shares that this node holds, and of its peers. */
class FleetQuota : public QuotaService
{
public:
    explicit FleetQuota(QuotaTask &task);

    std::optional<Refusal> take(const AccountName &account) override;

private:
    QuotaTask &m_task;
};

/** Claims on the platform's table. */
class FleetClaims : public ClaimService
{
public:
    explicit FleetClaims(ClaimTask &task);

    ClaimVerdict claim(const ClaimRequest &request, Cancellation &cancellation) override;
    bool startRun(const std::string &claimId) override;
    void finish(const std::string &claimId, ClaimOutcome outcome) override;
    void lose(const std::string &claimId) override;
    void release(const std::string &claimId) override;

private:
    ClaimTask &m_task;
};

} // namespace Pimentohollow
