#pragma once

#include "async/net/httpconnection.h"

#include <memory>
#include <vector>

namespace Pimentohollow
{

/** Client of one HTTP server; keeps idle connections and opens another one for each call in progress. */
class HttpClient
{
public:
    HttpClient(EventLoop &loop, IpEndpoint address);

    /**
     * Sends a request and reads its answer. Errors: Unavailable (nothing was sent), Timeout and OutcomeUnknown (the server may have
     * acted on it). A kept connection that turns out to be closed counts as OutcomeUnknown: the caller decides whether to repeat.
     */
    Result<HttpResponseMessage> exchange(const HttpRequestMessage &request, TimePoint deadline);

    const IpEndpoint &address() const
    {
        return m_address;
    }

private:
    Result<std::unique_ptr<HttpConnection>> take(TimePoint deadline);

    EventLoop &m_loop;
    IpEndpoint m_address;
    struct IdleConnection {
        std::unique_ptr<HttpConnection> connection;
        TimePoint idleSince{};
    };
    std::vector<IdleConnection> m_idle;
};

} // namespace Pimentohollow
