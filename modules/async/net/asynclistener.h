#pragma once

#include "async/net/asyncsocket.h"

namespace Pimentohollow
{

/** Accepts connections on one address and passes each to the handler, outside of any fiber. */
class AsyncListener : private EventHandler
{
public:
    using Accepted = std::function<void(std::unique_ptr<AsyncSocket>)>;

    AsyncListener(EventLoop &loop, Accepted accepted);
    ~AsyncListener() override;
    AsyncListener(const AsyncListener &) = delete;
    AsyncListener &operator=(const AsyncListener &) = delete;

    /** Port 0 picks a free one. Errors: Unavailable if the address can't be bound. */
    Result<void> listen(const IpEndpoint &address);
    /** Accepts the connections that are established already: closing would reset them, and the requests that they carry. */
    void close();

    std::uint16_t port() const
    {
        return m_port;
    }

private:
    void handleEvents(std::uint32_t events) override;
    void release();

    EventLoop &m_loop;
    Accepted m_accepted;
    int m_fd = -1;
    std::uint16_t m_port = 0;
};

} // namespace Pimentohollow
