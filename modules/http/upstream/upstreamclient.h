#pragma once

#include "core/cancellation.h"
#include "core/clock.h"
#include "core/refusal.h"
#include "http/reading/bytestream.h"
#include "messages/call/httpmessages.h"

#include <mutex>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <tl/expected.hpp>
#include <vector>

namespace Pimentohollow
{

struct UpstreamLimits {
    std::size_t maximumHeadBytes = std::size_t{ 64 } * 1024;
    std::size_t maximumBodyBytes = std::size_t{ 1024 } * 1024;
    Duration connectTimeout = std::chrono::seconds(1);
    /** Connections idle for longer aren't reused; shorter than the typical keep-alive time of servers. */
    Duration maximumIdleTime = std::chrono::seconds(4);
    std::size_t maximumIdleConnections = 64;
};

/**
 * Sends requests to one upstream over keep-alive connections and returns only complete responses.
 *
 * A request that isn't idempotent gets a new connection: an upstream may close an idle connection just as it is
 * reused, and the request could then not be retried. This class never sends a request twice. Thread-safe.
 */
class UpstreamClient
{
public:
    UpstreamClient(const Poco::Net::SocketAddress &address, const UpstreamLimits &limits);

    /** Returns the complete response, or a refusal that tells whether a byte of the request may have reached the upstream. */
    tl::expected<HttpResponseMessage, Refusal>
    send(const HttpRequestMessage &request, bool idempotent, TimePoint deadline, Cancellation &cancellation);

    /** True if the upstream accepts a new connection and keeps it open for ProbeDuration; takes that long if it does. */
    bool acceptsConnections() const;

    /** A process that is shutting down may still accept a connection and close it shortly afterwards. */
    static constexpr Duration ProbeDuration = std::chrono::milliseconds(50);

    const Poco::Net::SocketAddress &address() const;

private:
    struct IdleConnection {
        Poco::Net::StreamSocket socket;
        TimePoint idleSince;
    };

    tl::expected<Poco::Net::StreamSocket, Refusal> openConnection(TimePoint deadline);
    std::optional<Poco::Net::StreamSocket> takeIdleConnection();
    void addIdleConnection(const Poco::Net::StreamSocket &socket);

    Poco::Net::SocketAddress m_address;
    UpstreamLimits m_limits;
    std::mutex m_mutex;
    std::vector<IdleConnection> m_idleConnections;
};

} // namespace Pimentohollow
