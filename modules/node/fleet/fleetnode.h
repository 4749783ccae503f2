#pragma once

#include "configuration/configuration.h"
#include "node/node.h"
#include "runtime/runtime.h"
#include "storage/storage.h"

namespace Pimentohollow
{

/** Gives the peers configuration changes once the task that has them exists. */
class ChangesRelay : public ChangesHandler
{
public:
    void setTarget(ChangesHandler *target);

    ChangesResponse changesAfter(std::uint64_t version) override;

private:
    std::atomic<ChangesHandler *> m_target{ nullptr };
};

/** A node of a fleet: configuration, keys and claims come from the platform, upstreams from membership. */
class FleetNode : public GossipObserver
{
public:
    FleetNode(const NodeSettings &settings, std::uint64_t incarnation);
    ~FleetNode() override;
    FleetNode(const FleetNode &) = delete;
    FleetNode &operator=(const FleetNode &) = delete;

    Result<void> start();

    /** Finishes all requests and records their claims; false if some were left after the time limit. */
    bool shutDown();

    void onGossipEvent(const MembershipEvent &event) override;
    void onGossipRound(const std::shared_ptr<const FleetSnapshot> &snapshot) override;

private:
    void onConfiguration(const std::shared_ptr<const FleetView> &view);
    void reportUpstream();
    /** Tells callers to come once there are a configuration and tokens. */
    void updateReadiness();
    OwnerLiveness liveness(const ClaimOwner &owner) const;
    /** Stops new requests while this node is cut off for longer than the configuration allows. */
    void checkCutOff();
    /** Tells the other nodes of this data centre which requests were in flight at a crash. */
    void spreadCrashReports();
    void mergeCrashReport(const FingerprintEntry &entry);
    /** The answer to GET /v1/status. */
    HttpResponseMessage status() const;
    /** Takes a signed withdrawal from an operator. */
    HttpResponseMessage acceptWithdrawal(const HttpRequestMessage &request);

    NodeSettings m_settings;
    NodeOptions m_options;
    SystemClock m_clock;
    TimePoint m_startedAt;
    /** Only used on the gossip thread. */
    bool m_everReady = false;
    KeyTable m_keyTable;
    FleetRoutes m_routes;
    FleetKeys m_keys;
    HttpTableService m_table;
    HttpObjectStore m_objects;
    ConfigurationStore m_store;
    ConfigurationTracker m_tracker;
    GossipTask m_gossip;
    QuotaTask m_quotaTask;
    FleetQuota m_quota;
    ClaimTask m_claimTask;
    FleetClaims m_claims;
    RoutedUpstreams m_upstreams;
    ChangesRelay m_changes;
    Node m_node;
    ConfigurationTask m_configuration;
};

/** What of the settings concerns the node itself. */
NodeOptions nodeOptions(const NodeSettings &settings, std::uint64_t incarnation);

} // namespace Pimentohollow
