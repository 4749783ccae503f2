#include "peer/server/peerserver.h"

#include "core/logger.h"
#include "peer/channel/tcpframechannel.h"

#include <algorithm>
#include <Poco/Exception.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/Net/TCPServerParams.h>
#include <thread>

namespace Pimentohollow
{

namespace
{

constexpr int StackBytes = 128 * 1024;
constexpr int IdleThreadSeconds = 10;
constexpr int ListenBacklog = 256;
const Logger Log("peer.server");

class Connection : public Poco::Net::TCPServerConnection
{
public:
    Connection(const Poco::Net::StreamSocket &socket, PeerServer &server)
        : TCPServerConnection(socket)
        , m_server(server)
    {
    }

    void run() override
    {
        try {
            m_server.serve(socket());
        } catch (const Poco::Exception &ex) {
            Log.warning("link_failed", { { "error", ex.displayText() } });
        } catch (const std::exception &ex) {
            Log.error("link_failed", { { "error", ex.what() } });
        }
    }

private:
    PeerServer &m_server;
};

class ConnectionFactory : public Poco::Net::TCPServerConnectionFactory
{
public:
    explicit ConnectionFactory(PeerServer &server)
        : m_server(server)
    {
    }

    Poco::Net::TCPServerConnection *createConnection(const Poco::Net::StreamSocket &socket) override
    {
        return std::make_unique<Connection>(socket, m_server).release(); // owned by POCO's dispatcher
    }

private:
    PeerServer &m_server;
};

} // namespace

Result<std::unique_ptr<PeerServer>>
PeerServer::start(const PeerServerOptions &options, const FrameCodec &codec, CallHandler &handler, const Clock &clock)
{
    try {
        std::unique_ptr<PeerServer> server(new PeerServer(options, codec, handler, clock)); // private constructor
        server->m_server->start();
        return server;
    } catch (const Poco::Exception &ex) {
        return failure(ErrorKind::Unavailable, "peer.listen", ex.displayText(), options.address);
    }
}

PeerServer::PeerServer(const PeerServerOptions &options, const FrameCodec &codec, CallHandler &handler, const Clock &clock)
    : m_options(options)
    , m_codec(codec)
    , m_handler(handler)
    , m_registry(clock)
    , m_workers(options.maximumCalls)
    , m_socket(Poco::Net::SocketAddress(options.address), ListenBacklog)
    , m_threads("peer", 2, options.maximumLinks, IdleThreadSeconds, StackBytes)
{
    Poco::Net::TCPServerParams::Ptr params = Poco::makeAuto<Poco::Net::TCPServerParams>();
    params->setMaxThreads(options.maximumLinks);
    const Poco::Net::TCPServerConnectionFactory::Ptr factory = Poco::makeShared<ConnectionFactory>(*this);
    m_server = std::make_unique<Poco::Net::TCPServer>(factory, m_threads, m_socket, params);
}

PeerServer::~PeerServer()
{
    m_server->stop();
    for (const auto &it : links()) {
        it->close();
    }
    m_threads.joinAll();
}

int PeerServer::port() const
{
    return m_socket.address().port();
}

void PeerServer::beginDrain()
{
    {
        const std::lock_guard lock(m_mutex);
        m_draining = true;
    }
    for (const auto &it : links()) {
        it->goAway();
    }
}

bool PeerServer::waitUntilIdle(TimePoint deadline)
{
    constexpr auto Step = std::chrono::milliseconds(10);
    while (true) {
        std::size_t running = 0;
        for (const auto &it : links()) {
            running += it->runningCalls();
        }
        if (running == 0) {
            return true;
        }
        if (std::chrono::steady_clock::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(Step);
    }
}

void PeerServer::serve(const Poco::Net::StreamSocket &socket)
{
    const TimePoint limit = std::chrono::steady_clock::now() + m_options.handshakeTime;
    auto frames = std::make_unique<TcpFrameChannel>(socket, m_codec, m_options.sendTime);
    auto channel = MessageChannel::accept(std::move(frames), m_codec, m_options.self, limit);
    if (!channel) {
        Log.warning("handshake_failed", { { "reason", channel.error().describe() } });
        return;
    }
    const ServerLinkEnvironment environment{ m_handler,
                                             m_registry,
                                             m_workers,
                                             [this](const std::string &nonce) {
                                                 revokeLink(nonce);
                                             },
                                             m_options.self.incarnation,
                                             m_options.changes };
    const auto link = std::make_shared<ServerLink>(std::move(*channel), environment);
    if (!enlist(link)) {
        return;
    }
    link->run();
    const std::lock_guard lock(m_mutex);
    m_links.erase(link);
}

bool PeerServer::enlist(const std::shared_ptr<ServerLink> &link)
{
    bool draining = false;
    {
        const std::lock_guard lock(m_mutex);
        if (std::find(m_revokedNonces.begin(), m_revokedNonces.end(), link->nonce()) != m_revokedNonces.end()) {
            return false;
        }
        m_links.insert(link);
        draining = m_draining;
    }
    if (draining) {
        link->goAway();
    }
    return true;
}

std::vector<std::shared_ptr<ServerLink>> PeerServer::links() const
{
    const std::lock_guard lock(m_mutex);
    return { m_links.begin(), m_links.end() };
}

void PeerServer::revokeLink(const std::string &nonce)
{
    constexpr std::size_t RememberedNonces = 1024;
    {
        const std::lock_guard lock(m_mutex);
        m_revokedNonces.push_back(nonce);
        if (m_revokedNonces.size() > RememberedNonces) {
            m_revokedNonces.pop_front();
        }
    }
    for (const auto &it : links()) {
        if (it->nonce() == nonce) {
            it->revoke();
        }
    }
}

} // namespace Pimentohollow
