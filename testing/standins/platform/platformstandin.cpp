#include "standins/platform/platformstandin.h"

#include <fmt/format.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>

namespace Pimentohollow
{

namespace
{

/** Above the connections of today's 16 nodes, which keep at most 8 each. */
constexpr int MaximumThreads = 160;
constexpr int ListenBacklog = 256;

} // namespace

PlatformStandin::PlatformStandin(std::uint16_t port, std::uint16_t controlPort)
    : m_state(std::make_shared<StandinState>())
    , m_port(port)
    , m_threads(2, MaximumThreads)
{
    m_state->accessKeyId = AccessKeyId;
    m_state->secretAccessKey = SecretAccessKey;
    listen();
    m_control = startServer(controlPort, makeControlHandlers(m_state, [this](const StandinBehaviour &behaviour) {
                                setBehaviour(behaviour);
                            }));
    m_controlPort = m_control->port();
}

PlatformStandin::~PlatformStandin()
{
    m_control->stopAll(true);
    StandinBehaviour closing;
    closing.outage = StandinOutage::Down;
    setBehaviour(closing);
}

std::uint16_t PlatformStandin::port() const
{
    return m_port;
}

std::uint16_t PlatformStandin::controlPort() const
{
    return m_controlPort;
}

std::string PlatformStandin::url() const
{
    return fmt::format("http://127.0.0.1:{}", m_port);
}

void PlatformStandin::setBehaviour(const StandinBehaviour &behaviour)
{
    m_state->control.set(behaviour);
    if (behaviour.outage == StandinOutage::Down) {
        stopListening();
    } else {
        listen();
    }
}

StandinCounters PlatformStandin::counters() const
{
    return m_state->control.counters();
}

std::unique_ptr<Poco::Net::HTTPServer> PlatformStandin::startServer(std::uint16_t port,
                                                                    const Poco::Net::HTTPRequestHandlerFactory::Ptr &handlers)
{
    Poco::Net::HTTPServerParams::Ptr params(Poco::makeAuto<Poco::Net::HTTPServerParams>());
    params->setKeepAlive(true);
    params->setMaxThreads(MaximumThreads);
    params->setMaxQueued(ListenBacklog);
    Poco::Net::ServerSocket socket;
    socket.bind(Poco::Net::SocketAddress("127.0.0.1", port), true);
    socket.listen(ListenBacklog);
    auto server = std::make_unique<Poco::Net::HTTPServer>(handlers, m_threads, socket, params);
    server->start();
    return server;
}

void PlatformStandin::listen()
{
    const std::lock_guard lock(m_mutex);
    if (!m_service) {
        m_service = startServer(m_port, makeServiceHandlers(m_state));
        m_port = m_service->port();
    }
}

void PlatformStandin::stopListening()
{
    const std::lock_guard lock(m_mutex);
    if (m_service) {
        m_service->stopAll(true);
        m_service.reset();
    }
}

} // namespace Pimentohollow
