#include "standins/mesh/reservedport.h"

#include "core/logger.h"

#include <arpa/inet.h>
#include <atomic>
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

/** Below 32768, where Linux starts to choose ports itself for sockets that name none. */
constexpr unsigned LowestPort = 20'000;
constexpr unsigned PortCount = 12'000;
/** Apart, so that test processes with neighbouring process IDs rarely try the same ports. */
constexpr unsigned PortsBetweenProcesses = 101;

std::uint16_t nextCandidate()
{
    static std::atomic<unsigned> next = static_cast<unsigned>(::getpid()) * PortsBetweenProcesses;
    return static_cast<std::uint16_t>(LowestPort + next++ % PortCount);
}

/** A socket bound to the port of the loopback interface; -1 with errno set if that fails. */
int bindPort(int type, std::uint16_t port)
{
    const int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    if (fd >= 0 && ::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        const int error = errno;
        ::close(fd);
        errno = error;
        return -1;
    }
    return fd;
}

bool isFreeForDatagrams(std::uint16_t port)
{
    const int fd = bindPort(SOCK_DGRAM, port);
    if (fd >= 0) {
        ::close(fd);
    }
    return fd >= 0;
}
} // namespace

ReservedPort::ReservedPort()
    : m_endpoint{ "127.0.0.1", 0 }
{
    for (unsigned n = 0; n < PortCount && m_endpoint.port == 0; ++n) {
        const std::uint16_t port = nextCandidate();
        m_fd = bindPort(SOCK_STREAM, port);
        if (m_fd >= 0 && isFreeForDatagrams(port)) {
            m_endpoint.port = port;
        } else if (m_fd >= 0) {
            ::close(m_fd);
            m_fd = -1;
        }
    }
    // Set after bind(), which would otherwise succeed on a port that another object has reserved.
    const int on = 1;
    if (m_endpoint.port == 0 || ::setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0) {
        Log.error("port_not_reserved", { { "error", std::strerror(errno) } });
        m_endpoint.port = 0;
    }
}

ReservedPort::~ReservedPort()
{
    if (m_fd >= 0) {
        ::close(m_fd);
    }
}

} // namespace Pimentohollow::Testing
