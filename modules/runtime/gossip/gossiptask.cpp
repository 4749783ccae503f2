#include "runtime/gossip/gossiptask.h"

#include "core/logger.h"

#include <array>
#include <cassert>
#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

namespace Pimentohollow
{

namespace
{

constexpr std::size_t MostWaitingCommands = 4096;
/** Most datagrams handled before the timers run again, so that a flood can't stop the probes. */
constexpr int MostDatagramsPerRound = 256;
constexpr auto TickInterval = std::chrono::milliseconds(100);
/** The announced end is repeated this often, because datagrams may be lost. */
constexpr int LeaveRounds = 3;
const Logger Log("gossip");

Poco::Timespan timespan(Duration duration)
{
    return { std::max<std::int64_t>(std::chrono::duration_cast<std::chrono::microseconds>(duration).count(), 0) };
}

} // namespace

const MemberUpdate *FleetSnapshot::find(const NodeName &node) const
{
    for (const auto &it : members) {
        if (it.node == node) {
            return &it;
        }
    }
    return nullptr;
}

GossipTask::GossipTask(MembershipSettings settings, MessageAuthenticator authenticator, const Clock &clock, std::uint64_t seed)
    : m_settings(std::move(settings))
    , m_clock(clock)
    , m_random(seed)
    , m_codec(m_settings.node, m_settings.incarnation, std::move(authenticator))
    , m_commands(MostWaitingCommands)
    , m_outgoing(MostWaitingCommands)
    , m_snapshot(std::make_shared<FleetSnapshot>())
    , m_lastRemoteContact(clock.now())
{
}

GossipTask::~GossipTask()
{
    stop();
}

Result<std::uint16_t> GossipTask::open(const std::string &address)
{
    try {
        const Poco::Net::SocketAddress local(address);
        m_socket = Poco::Net::DatagramSocket(local);
        m_wakeSocket = Poco::Net::DatagramSocket(local.family());
        const auto port = m_socket.address().port();
        m_wakeSocket.connect(Poco::Net::SocketAddress(local.host(), port));
        m_settings.address.gossipPort = port;
        return port;
    } catch (const Poco::Exception &ex) {
        return failure(ErrorKind::Unavailable, "gossip.listen", ex.displayText(), address);
    }
}

void GossipTask::start(std::uint16_t peerPort, GossipObserver *observer)
{
    assert(!m_thread.joinable());
    m_settings.address.peerPort = peerPort;
    m_observer = observer;
    m_membership = std::make_unique<Membership>(m_settings, m_clock, m_random);
    m_thread = std::thread([this] {
        run();
    });
}

void GossipTask::stop()
{
    if (!m_thread.joinable()) {
        return;
    }
    m_stopping = true;
    m_commands.close();
    m_outgoing.close();
    wake();
    m_thread.join();
}

bool GossipTask::post(Command command)
{
    if (!m_commands.post(std::move(command))) {
        return false;
    }
    wake();
    return true;
}

void GossipTask::send(const GossipEndpoint &to, const QuotaMessage &message)
{
    OutgoingMessage outgoing{ to,
                              std::visit(
                                  [](const auto &it) {
                                      return GossipMessage(it);
                                  },
                                  message) };
    if (m_outgoing.post(std::move(outgoing))) {
        wake();
    }
}

std::shared_ptr<const FleetSnapshot> GossipTask::snapshot() const
{
    const std::lock_guard lock(m_snapshotMutex);
    return m_snapshot;
}

DatagramCounters GossipTask::counters() const
{
    const std::lock_guard lock(m_snapshotMutex);
    return m_counters;
}

TimePoint GossipTask::lastRemoteContact() const
{
    return m_lastRemoteContact;
}

std::uint64_t GossipTask::bytesSent() const
{
    return m_bytesSent;
}

std::uint64_t GossipTask::bytesReceived() const
{
    return m_bytesReceived;
}

void GossipTask::run()
{
    TimePoint nextTick = m_clock.now();
    while (!m_stopping) {
        const TimePoint now = m_clock.now();
        if (now >= nextTick) {
            m_membership->tick();
            nextTick = now + TickInterval;
            flush();
            publish();
        }
        if (m_socket.poll(timespan(nextTick - m_clock.now()), Poco::Net::Socket::SELECT_READ)) {
            receiveWaiting();
        }
        runCommands();
        flush();
    }
    m_membership->leave();
    for (int n = 0; n < LeaveRounds; ++n) {
        m_membership->tick();
        flush();
    }
}

void GossipTask::receiveWaiting()
{
    for (int n = 0; n < MostDatagramsPerRound; ++n) {
        receiveOne();
        if (!m_socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
            return;
        }
    }
}

void GossipTask::receiveOne()
{
    // One byte more than allowed, so that a longer datagram is recognised as too long instead of being cut off.
    std::array<char, DatagramCodec::MaximumBytes + 1> buf{};
    Poco::Net::SocketAddress sender;
    int n = 0;
    try {
        n = m_socket.receiveFrom(buf.data(), static_cast<int>(buf.size()), sender);
    } catch (const Poco::Exception &ex) {
        // An ICMP error of an earlier datagram is reported here; the failed node is found by the probes.
        Log.debug("receive_failed", { { "error", ex.displayText() } });
        return;
    }
    if (n <= 0) {
        return; // a wake-up of this task
    }
    m_bytesReceived += static_cast<std::uint64_t>(n);
    const auto datagram = m_codec.decode({ buf.data(), static_cast<std::size_t>(n) }, sender.toString());
    if (!datagram) {
        Log.debug("datagram_refused", { { "error", datagram.error().describe() } });
        return;
    }
    noteContact(datagram->sender);
    m_membership->receive({ sender.host().toString(), sender.port() }, *datagram);
}

void GossipTask::noteContact(const NodeName &sender)
{
    const Member *member = m_membership->table().find(sender);
    if (member && member->update.dataCentre != m_settings.dataCentre) {
        m_lastRemoteContact = m_clock.now();
    }
}

void GossipTask::runCommands()
{
    while (auto command = m_commands.take(TimePoint::min())) {
        (*command)(*m_membership);
    }
    while (auto message = m_outgoing.take(TimePoint::min())) {
        sendDatagram(message->to, message->message);
    }
}

void GossipTask::flush()
{
    for (const auto &it : m_membership->takeMessages()) {
        sendDatagram(it.to, it.message);
    }
    const auto events = m_membership->takeEvents();
    for (const auto &it : events) {
        if (const auto *left = std::get_if<MemberLeft>(&it)) {
            m_codec.forget(left->member.node);
        }
        if (m_observer) {
            m_observer->onGossipEvent(it);
        }
    }
    if (!events.empty()) {
        publish();
    }
}

void GossipTask::publish()
{
    auto snapshot = std::make_shared<FleetSnapshot>();
    snapshot->members.push_back(m_membership->self());
    for (const auto &[name, member] : m_membership->table().members()) {
        if (member.reachable() && name != m_settings.node) {
            snapshot->members.push_back(member.update);
        }
    }
    for (const auto &[name, entry] : m_membership->table().upstreams()) {
        snapshot->upstreams.push_back(entry.record);
    }
    {
        const std::lock_guard lock(m_snapshotMutex);
        m_snapshot = snapshot;
        m_counters = m_codec.counters();
    }
    if (m_observer) {
        m_observer->onGossipRound(snapshot);
    }
}

void GossipTask::wake()
{
    try {
        m_wakeSocket.sendBytes("", 0);
    } catch (const Poco::Exception &ex) {
        // The task wakes up at its next tick all the same.
        Log.debug("wake_failed", { { "error", ex.displayText() } });
    }
}

void GossipTask::sendDatagram(const GossipEndpoint &to, const GossipMessage &message)
{
    const auto datagram = m_codec.encode(message);
    if (!datagram) {
        Log.error("encode_failed", { { "error", datagram.error().describe() } });
        return;
    }
    try {
        m_socket.sendTo(datagram->data(), static_cast<int>(datagram->size()), Poco::Net::SocketAddress(to.host, to.port));
        m_bytesSent += datagram->size();
    } catch (const Poco::Exception &ex) {
        Log.debug("send_failed", { { "peer", to.host }, { "error", ex.displayText() } });
    }
}

} // namespace Pimentohollow
