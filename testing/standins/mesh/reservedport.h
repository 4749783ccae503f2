#pragma once

#include "core/ipendpoint.h"

namespace Pimentohollow::Testing
{

/**
 * A free TCP port of the loopback interface that the kernel gives to nobody else while this object lives. The program under test may listen
 * on it, because both sockets allow that the address is reused.
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
