#pragma once

#include "configuration/configuration.h"
#include "core/mailbox.h"
#include "keys/keys.h"
#include "peer/peer.h"
#include "runtime/gossip/gossiptask.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <thread>
#include <variant>

namespace Pimentohollow
{

/** Nodes of a data centre that read the head of the configuration every second; the others learn of it by gossip. */
inline constexpr std::size_t PollersPerDataCentre = 2;

/** Whether @p self is one of the members with the highest rendezvous hash, which poll the platform for the data centre. */
bool pollsForDataCentre(const NodeName &self, const DataCentreName &dataCentre, const FleetSnapshot &snapshot);

/**
 * Keeps the configuration of this node up to date: polls the platform or pulls from the peer that reported a higher
 * version, puts new keys and withdrawals into force, and records withdrawals that were accepted without the platform.
 * One thread does the blocking calls; the other threads post messages.
 */
class ConfigurationTask : public ChangesHandler
{
public:
    struct Parts {
        ConfigurationStore &store;
        ConfigurationTracker &tracker;
        KeyTable &keys;
        GossipTask &gossip;
        const PeerPool &peers;
        const Clock &clock;
    };
    /** Called on the thread of the task after each new version. */
    using Observer = std::function<void(const std::shared_ptr<const FleetView> &)>;

    ConfigurationTask(NodeName self, DataCentreName dataCentre, const Parts &parts, Observer observer);
    ~ConfigurationTask() override;
    ConfigurationTask(const ConfigurationTask &) = delete;
    ConfigurationTask &operator=(const ConfigurationTask &) = delete;

    void start();
    void stop();

    /** Takes the events that concern configuration and keys and ignores the others. Never blocks. */
    void onGossipEvent(const MembershipEvent &event);

    /** Puts a signed withdrawal into force here and spreads it; Unauthorized if its signature is wrong. */
    Result<void> acceptWithdrawal(const SignedWithdrawal &withdrawal);

    ChangesResponse changesAfter(std::uint64_t version) override;

    /** How long neither the platform nor a node of another data centre was heard of. */
    Duration cutOffFor() const;

    /** Whether the platform answered the last time it was asked. */
    bool platformReachable() const;

private:
    using Message = std::variant<HigherConfigurationVersion, WithdrawalsReceived>;

    void run();
    void handle(const HigherConfigurationVersion &event);
    void handle(const WithdrawalsReceived &event);
    void poll();
    void catchUp(std::uint64_t head);
    void finishUpdate(const TrackerUpdate &update, const std::string &source);
    void recordWithdrawals();
    Duration pollInterval() const;
    void noteAnswer(bool answered);

    const NodeName m_self;
    const DataCentreName m_dataCentre;
    Parts m_parts;
    Observer m_observer;
    Mailbox<Message> m_messages;
    std::atomic<TimePoint> m_lastPlatformContact;
    std::atomic<bool> m_platformReachable{ false };
    std::thread m_thread;
};

} // namespace Pimentohollow
