#pragma once

#include "peer/link/peerlink.h"

#include <Poco/Net/SocketAddress.h>
#include <vector>

namespace Pimentohollow
{

struct PeerPoolOptions {
    /** What this node tells its peers about itself. */
    Hello self;
    LinkTimings timings;
    std::size_t linksPerPeer = 2;
    Duration connectTime = std::chrono::milliseconds(500);
    /** After a failed attempt to connect, calls to the peer fail at once for this time. */
    Duration reconnectPause = std::chrono::milliseconds(200);
    Duration sendTime = std::chrono::seconds(5);
    /** Longest wait for the outcome of a call whose link broke. */
    Duration outcomeTime = std::chrono::seconds(5);
};

/**
 * The links to all peers. Opens them when they are first needed and replaces the ones that broke.
 * Thread-safe. Every failure becomes a refusal that says truthfully whether the call may have run.
 */
class PeerPool
{
public:
    PeerPool(const FrameCodec &codec, PeerPoolOptions options);
    ~PeerPool();

    /** Runs a call at the node that listens at @p address ("ip:port"). */
    CallResponse call(const std::string &address, const CallRequest &request, TimePoint deadline, Cancellation &cancellation);

    /**
     * Asks the node at @p address for the configuration changes after a version, over a connection of its own, so that a
     * large document doesn't delay calls.
     */
    Result<ChangesResponse> requestChanges(const std::string &address, std::uint64_t afterVersion, TimePoint deadline) const;

private:
    using LinkPtr = std::shared_ptr<PeerLink>;

    /** The links to one peer. */
    struct Peer {
        std::mutex mutex;
        std::vector<LinkPtr> links;
        std::size_t next = 0;
        TimePoint pausedUntil{};
    };

    std::shared_ptr<Peer> peerAt(const std::string &address);
    LinkPtr pick(const std::string &address, TimePoint deadline);
    LinkPtr open(const std::string &address, TimePoint deadline);
    Result<std::unique_ptr<MessageChannel>> connect(const std::string &address, TimePoint deadline) const;
    CallResponse resolve(const std::string &address,
                         const CallRequest &request,
                         const PeerLink &broken,
                         TimePoint sent,
                         TimePoint deadline,
                         Cancellation &cancellation);

    const FrameCodec &m_codec;
    PeerPoolOptions m_options;
    std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<Peer>> m_peers;
};

} // namespace Pimentohollow
