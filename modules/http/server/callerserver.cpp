#include "http/server/callerserver.h"

#include "http/server/callerconnection.h"

#include <Poco/Net/Context.h>
#include <Poco/Net/SecureServerSocket.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/Net/TCPServerParams.h>

namespace Pimentohollow
{

namespace
{

constexpr int ThreadStackBytes = 128 * 1024;
constexpr int ListenBacklog = 1024;
constexpr int ThreadIdleSeconds = 10;

class ConnectionFactory : public Poco::Net::TCPServerConnectionFactory
{
public:
    explicit ConnectionFactory(const ConnectionEnvironment &environment)
        : m_environment(environment)
    {
    }

    Poco::Net::TCPServerConnection *createConnection(const Poco::Net::StreamSocket &socket) override
    {
        return std::make_unique<CallerConnection>(socket, m_environment).release(); // POCO's dispatcher takes ownership
    }

private:
    ConnectionEnvironment m_environment;
};

Poco::Net::ServerSocket openListeningSocket(const ListenerOptions &options)
{
    const Poco::Net::SocketAddress address(options.address);
    if (!options.tls) {
        return { address, ListenBacklog };
    }
    const auto usage = Poco::Net::Context::TLS_SERVER_USE;
    const auto verification = Poco::Net::Context::VERIFY_NONE; // callers authenticate with a key, not a certificate
    auto context = Poco::makeAuto<Poco::Net::Context>(usage, options.tls->keyFile, options.tls->certificateFile, "", verification);
    context->requireMinimumProtocol(Poco::Net::Context::PROTO_TLSV1_2);
    return Poco::Net::SecureServerSocket(address, ListenBacklog, context);
}

Poco::Net::TCPServerParams::Ptr serverParameters(const ListenerOptions &options)
{
    Poco::Net::TCPServerParams::Ptr parameters = Poco::makeAuto<Poco::Net::TCPServerParams>();
    parameters->setMaxThreads(options.maximumConnections);
    parameters->setMaxQueued(ListenBacklog);
    return parameters;
}

} // namespace

Result<std::unique_ptr<CallerServer>>
CallerServer::start(const ListenerOptions &options, RequestHandler &handler, DisconnectWatcher &watcher)
{
    try {
        std::unique_ptr<CallerServer> server(
            new CallerServer(openListeningSocket(options), options, handler, watcher)); // private constructor
        server->m_server->start();
        return server;
    } catch (const Poco::Exception &ex) {
        return failure(ErrorKind::Unavailable, "listener.start", ex.displayText(), options.address);
    }
}

CallerServer::CallerServer(const Poco::Net::ServerSocket &socket,
                           const ListenerOptions &options,
                           RequestHandler &handler,
                           DisconnectWatcher &watcher)
    : m_options(options)
    , m_threads("caller", 2, options.maximumConnections, ThreadIdleSeconds, ThreadStackBytes)
    , m_socket(socket)
{
    const ConnectionEnvironment environment{ m_options, m_registry, handler, watcher };
    const Poco::Net::TCPServerConnectionFactory::Ptr factory = Poco::makeShared<ConnectionFactory>(environment);
    m_server = std::make_unique<Poco::Net::TCPServer>(factory, m_threads, m_socket, serverParameters(m_options));
}

CallerServer::~CallerServer()
{
    beginDrain();
    // Returns, because the options limit every wait of a connection.
    finishDrain(TimePoint::max());
    m_threads.joinAll();
}

int CallerServer::port() const
{
    return m_socket.address().port();
}

std::size_t CallerServer::connectionCount() const
{
    return m_registry.connectionCount();
}

void CallerServer::beginDrain()
{
    m_registry.beginDrain();
}

bool CallerServer::finishDrain(TimePoint deadline)
{
    if (!std::exchange(m_acceptStopped, true)) {
        m_server->stop();
        m_socket.close();
    }
    m_registry.closeIdleConnections();
    return m_registry.waitUntilEmpty(deadline);
}

} // namespace Pimentohollow
