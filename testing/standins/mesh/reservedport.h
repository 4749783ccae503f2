#pragma once

#include "core/ipendpoint.h"

namespace Pimentohollow::Testing
{

/**
 * A port of the loopback interface that is free for TCP and UDP and isn't given to another process while this object lives. The program
 * under test may listen on it: for TCP, because both sockets allow that the address is reused; for UDP, because only other objects of this
 * class take ports of this range, and they respect the TCP socket.
 */
class ReservedPort
{
public:
    ReservedPort();
    ~ReservedPort();
    ReservedPort(const ReservedPort &) = delete;
    ReservedPort &operator=(const ReservedPort &) = delete;

    /** Port 0 if none could be reserved; the reason is logged. */
    const IpEndpoint &endpoint() const
    {
        return m_endpoint;
    }

private:
    int m_fd = -1;
    IpEndpoint m_endpoint;
};

} // namespace Pimentohollow::Testing
