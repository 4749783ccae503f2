#pragma once

#include "peer/server/serverlink.h"

#include <deque>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>
#include <set>

namespace Pimentohollow
{

struct PeerServerOptions {
    /** "address:port"; port 0 takes a free one. */
    std::string address;
    Hello self;
    /** Calls that run at a time; more are refused as not run. */
    std::size_t maximumCalls = 1024;
    int maximumLinks = 1024;
    Duration handshakeTime = std::chrono::seconds(2);
    Duration sendTime = std::chrono::seconds(5);
    /** Must outlive the server; null if this node shares no configuration. */
    ChangesHandler *changes = nullptr;
};

/** Accepts the links of other nodes and runs their calls. */
class PeerServer
{
public:
    static Result<std::unique_ptr<PeerServer>>
    start(const PeerServerOptions &options, const FrameCodec &codec, CallHandler &handler, const Clock &clock);

    ~PeerServer();
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;

    int port() const;

    /** Tells all peers to send no new calls. */
    void beginDrain();

    /** Waits until no call is running; false if some were left at the deadline. */
    bool waitUntilIdle(TimePoint deadline);

    /** Serves one connection; used by the connection threads. */
    void serve(const Poco::Net::StreamSocket &socket);

private:
    PeerServer(const PeerServerOptions &options, const FrameCodec &codec, CallHandler &handler, const Clock &clock);

    std::vector<std::shared_ptr<ServerLink>> links() const;
    void revokeLink(const std::string &nonce);
    /** Adds the link unless it was revoked already. */
    bool enlist(const std::shared_ptr<ServerLink> &link);

    PeerServerOptions m_options;
    const FrameCodec &m_codec;
    CallHandler &m_handler;
    CallRegistry m_registry;
    WorkerPool m_workers;
    mutable std::mutex m_mutex;
    std::set<std::shared_ptr<ServerLink>> m_links;
    /** The latest revoked nonces, for a link that is revoked while its handshake ends. */
    std::deque<std::string> m_revokedNonces;
    bool m_draining = false;
    Poco::Net::ServerSocket m_socket;
    Poco::ThreadPool m_threads;
    std::unique_ptr<Poco::Net::TCPServer> m_server;
};

} // namespace Pimentohollow
