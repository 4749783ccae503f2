#include "standins/mesh/reservedport.h"

#include "core/logger.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Pimentohollow::Testing
{

namespace
{
const Logger Log("testing");
} // namespace

ReservedPort::ReservedPort()
    : m_fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    , m_endpoint{ "127.0.0.1", 0 }
{
    const int on = 1;
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    const bool reserved = m_fd >= 0 && ::setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) == 0
        && ::bind(m_fd, reinterpret_cast<const sockaddr *>(&address), size) == 0
        && ::getsockname(m_fd, reinterpret_cast<sockaddr *>(&address), &size) == 0;
    if (!reserved) {
        Log.error("port_not_reserved", { { "error", std::strerror(errno) } });
        return;
    }
    m_endpoint.port = ntohs(address.sin_port);
}

ReservedPort::~ReservedPort()
{
    if (m_fd >= 0) {
        ::close(m_fd);
    }
}

} // namespace Pimentohollow::Testing
