#pragma once

#include "core/mailbox.h"
#include "membership/membership.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <Poco/Net/DatagramSocket.h>
#include <string>
#include <thread>
#include <vector>

namespace Pimentohollow
{

/** What a node knows about the others; a value that never changes once it is published. */
struct FleetSnapshot {
    /** Members to which messages may be sent, this node included. */
    std::vector<MemberUpdate> members;
    std::vector<UpstreamRecord> upstreams;

    const MemberUpdate *find(const NodeName &node) const;
};

/** Receives the events of the membership on the thread of the GossipTask; must not block. */
class GossipObserver
{
public:
    virtual ~GossipObserver() = default;

    virtual void onGossipEvent(const MembershipEvent &event) = 0;

    /** Called after each round, about every 100 ms, and after each batch of events. */
    virtual void onGossipRound(const std::shared_ptr<const FleetSnapshot> &snapshot) = 0;
};

/**
 * Runs the membership protocol on a UDP socket. Owns the socket, the codec and the protocol's state; the other threads
 * post commands, which take effect within one wake-up.
 */
class GossipTask
{
public:
    /** Changes the state of the protocol on the thread of the task. */
    using Command = std::function<void(Membership &)>;

    /** @param clock must outlive the task */
    GossipTask(MembershipSettings settings, MessageAuthenticator authenticator, const Clock &clock, std::uint64_t seed);
    ~GossipTask();
    GossipTask(const GossipTask &) = delete;
    GossipTask &operator=(const GossipTask &) = delete;

    /** Opens the socket at @p address ("ip:port"; port 0 takes a free one) and returns the port. */
    Result<std::uint16_t> open(const std::string &address);

    /** Starts the thread. @param peerPort TCP port to publish; @param observer must outlive the task, may be null */
    void start(std::uint16_t peerPort, GossipObserver *observer);

    /** Announces the end of this process to the others and stops the thread. */
    void stop();

    /** Runs a command on the thread of the task; false if the task is stopped or overloaded. */
    bool post(Command command);

    /** Sends a quota message to a member. */
    void send(const GossipEndpoint &to, const QuotaMessage &message);

    std::shared_ptr<const FleetSnapshot> snapshot() const;

    /** When the last datagram of another data centre arrived; the start of the task if none did. */
    TimePoint lastRemoteContact() const;

    /** Datagrams received so far, for metrics. */
    DatagramCounters counters() const;

    /** Bytes sent and received so far, without IP and UDP headers. */
    std::uint64_t bytesSent() const;
    std::uint64_t bytesReceived() const;

private:
    void run();
    void receiveWaiting();
    void receiveOne();
    void noteContact(const NodeName &sender);
    void runCommands();
    void flush();
    void publish();
    void wake();
    void sendDatagram(const GossipEndpoint &to, const GossipMessage &message);

    MembershipSettings m_settings;
    const Clock &m_clock;
    Random m_random;
    DatagramCodec m_codec;
    Poco::Net::DatagramSocket m_socket;
    Poco::Net::DatagramSocket m_wakeSocket;
    std::unique_ptr<Membership> m_membership;
    GossipObserver *m_observer = nullptr;
    Mailbox<Command> m_commands;
    Mailbox<OutgoingMessage> m_outgoing;
    mutable std::mutex m_snapshotMutex;
    std::shared_ptr<const FleetSnapshot> m_snapshot;
    DatagramCounters m_counters;
    std::atomic<std::uint64_t> m_bytesSent{ 0 };
    std::atomic<std::uint64_t> m_bytesReceived{ 0 };
    std::atomic<TimePoint> m_lastRemoteContact;
    std::atomic<bool> m_stopping{ false };
    std::thread m_thread;
};

} // namespace Pimentohollow
