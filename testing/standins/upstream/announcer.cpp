#include "announcer.h"

#include <fmt/format.h>
#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <unistd.h>

namespace Pimentohollow::Testing
{

Announcer::Announcer(const StandinState &state, const Poco::Net::SocketAddress &node, std::string service, std::string address)
    : m_state(state)
    , m_node(node)
    , m_service(std::move(service))
    , m_address(std::move(address))
    , m_thread([this] {
        run();
    })
{
}

Announcer::~Announcer()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_stop.notify_all();
    m_thread.join();
}

void Announcer::run()
{
    constexpr auto Interval = std::chrono::milliseconds(250);
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        lock.unlock();
        announce();
        lock.lock();
        m_stop.wait_for(lock, Interval, [this] {
            return m_stopping;
        });
    }
}

void Announcer::announce()
{
    try {
        Poco::Net::HTTPClientSession session(m_node);
        session.setTimeout({ 1, 0 });
        Poco::Net::HTTPRequest request("PUT", "/v1/upstream", Poco::Net::HTTPRequest::HTTP_1_1);
        const std::string body = fmt::format(R"({{"service":"{}","address":"{}","state":"{}","incarnation":{}}})",
                                             m_service,
                                             m_address,
                                             m_state.behaviour().announcedState,
                                             ::getpid());
        request.setContentLength64(static_cast<Poco::Int64>(body.size()));
        session.sendRequest(request) << body;
        Poco::Net::HTTPResponse response;
        session.receiveResponse(response);
    } catch (const Poco::Exception &ex) {
        fmt::print(stderr, "announce failed: {}\n", ex.displayText());
    }
}

} // namespace Pimentohollow::Testing
