#include "net.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <charconv>
#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <stdexcept>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Review
{

namespace
{

constexpr std::size_t ReadBytes = std::size_t{ 64 } * 1024;
constexpr int Backlog = 512;

sockaddr_in addressOf(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/** Waits until the socket is ready; false if the deadline passes before. */
bool awaitReady(int fd, short events, TimePoint deadline)
{
    while (true) {
        constexpr std::int64_t LongestWait = 1000;
        std::int64_t wait = LongestWait;
        if (deadline != TimePoint::max()) {
            const auto left = std::chrono::ceil<Milliseconds>(deadline - Clock::now()).count();
            if (left <= 0) {
                return false;
            }
            wait = std::min(wait, static_cast<std::int64_t>(left));
        }
        pollfd it{ fd, events, 0 };
        if (::poll(&it, 1, static_cast<int>(wait)) > 0) {
            return true;
        }
    }
}

int listenOn(int port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto address = addressOf(port);
    if (::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 || ::listen(fd, Backlog) != 0) {
        ::close(fd);
        throw std::runtime_error("can't listen on port " + std::to_string(port));
    }
    return fd;
}

/** Binds the port if no other process uses it, and keeps it bound while this process runs, so that no other case takes it. */
bool reservePort(int port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = addressOf(port);
    if (::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(fd);
        return false;
    }
    // Lets the listener bind it, too, which sets the same option.
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    return true;
}

} // namespace

std::vector<int> freePorts(std::size_t count)
{
    // Below the range that the kernel gives to outgoing connections, so that none takes a port before its listener starts.
    constexpr int LowestPort = 15'000;
    constexpr int HighestPort = 32'000;
    constexpr int MostTries = 10'000;
    std::mt19937 random(std::random_device{}());
    std::uniform_int_distribution<int> anyPort(LowestPort, HighestPort);
    std::vector<int> ports;
    for (int n = 0; n < MostTries && ports.size() < count; ++n) {
        const int port = anyPort(random);
        if (std::find(ports.begin(), ports.end(), port) == ports.end() && reservePort(port)) {
            ports.push_back(port);
        }
    }
    if (ports.size() < count) {
        throw std::runtime_error("too few ports are free");
    }
    return ports;
}

std::string HttpMessage::header(std::string_view name) const
{
    for (const auto &[key, value] : headers) {
        if (key.size() == name.size() && ::strncasecmp(key.data(), name.data(), name.size()) == 0) {
            return value;
        }
    }
    return {};
}

std::string HttpMessage::word(std::size_t index) const
{
    std::size_t start = 0;
    for (; index > 0; --index) {
        start = firstLine.find(' ', start);
        if (start == std::string::npos) {
            return {};
        }
        ++start;
    }
    return firstLine.substr(start, firstLine.find(' ', start) - start);
}

int HttpMessage::status() const
{
    const std::string text = word(1);
    int result = 0;
    std::from_chars(text.data(), text.data() + text.size(), result);
    return result;
}

bool HttpMessage::closes() const
{
    return ::strcasecmp(header("Connection").c_str(), "close") == 0;
}

Connection::Connection(int fd)
    : m_fd(fd)
{
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    ::fcntl(fd, F_SETFL, O_NONBLOCK);
}

Connection::~Connection()
{
    ::close(m_fd);
}

std::unique_ptr<Connection> Connection::open(int port, Milliseconds timeout)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto connection = std::make_unique<Connection>(fd);
    const auto address = addressOf(port);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        int ec = errno;
        socklen_t size = sizeof ec;
        if (ec != EINPROGRESS || !awaitReady(fd, POLLOUT, Clock::now() + timeout)) {
            return nullptr;
        }
        if (::getsockopt(fd, SOL_SOCKET, SO_ERROR, &ec, &size) != 0 || ec != 0) {
            return nullptr;
        }
    }
    return connection;
}

bool Connection::send(std::string_view bytes, TimePoint deadline)
{
    while (!bytes.empty()) {
        const auto count = ::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count >= 0) {
            bytes.remove_prefix(static_cast<std::size_t>(count));
        } else if (errno == EAGAIN) {
            if (!awaitReady(m_fd, POLLOUT, deadline)) {
                return false;
            }
        } else if (errno != EINTR) {
            return false;
        }
    }
    return true;
}

Connection::ReadResult Connection::fill(TimePoint deadline)
{
    std::array<char, ReadBytes> bytes; // NOLINT(cppcoreguidelines-pro-type-member-init) filled by the call below
    while (true) {
        const auto count = ::recv(m_fd, bytes.data(), bytes.size(), 0);
        if (count > 0) {
            m_buffer.append(bytes.data(), static_cast<std::size_t>(count));
            return ReadResult::Bytes;
        }
        if (count == 0) {
            return ReadResult::Ended;
        }
        if (errno == EAGAIN) {
            if (!awaitReady(m_fd, POLLIN, deadline)) {
                return ReadResult::TimedOut;
            }
        } else if (errno != EINTR) {
            return ReadResult::Failed;
        }
    }
}

bool Connection::readExactly(std::string &out, std::size_t count, TimePoint deadline)
{
    while (count > 0) {
        if (m_buffer.empty() && fill(deadline) != ReadResult::Bytes) {
            return false;
        }
        const std::size_t taken = std::min(count, m_buffer.size());
        out.append(m_buffer, 0, taken);
        m_buffer.erase(0, taken);
        count -= taken;
    }
    return true;
}

bool Connection::readLine(std::string &line, TimePoint deadline)
{
    while (true) {
        const auto end = m_buffer.find("\r\n");
        if (end != std::string::npos) {
            line = m_buffer.substr(0, end);
            m_buffer.erase(0, end + 2);
            return true;
        }
        if (fill(deadline) != ReadResult::Bytes) {
            return false;
        }
    }
}

std::optional<HttpMessage> Connection::readHead(TimePoint deadline)
{
    HttpMessage message;
    if (!readLine(message.firstLine, deadline)) {
        return std::nullopt;
    }
    std::string line;
    while (true) {
        if (!readLine(line, deadline)) {
            return std::nullopt;
        }
        if (line.empty()) {
            return message;
        }
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            const auto value = line.find_first_not_of(" \t", colon + 1);
            message.headers.emplace_back(line.substr(0, colon), value == std::string::npos ? std::string() : line.substr(value));
        }
    }
}

void Connection::readBody(HttpMessage &message, TimePoint deadline)
{
    constexpr int NoContent = 204;
    const bool isAnswer = message.firstLine.starts_with("HTTP/");
    const std::string length = message.header("Content-Length");
    if (::strcasecmp(message.header("Transfer-Encoding").c_str(), "chunked") == 0) {
        std::string line;
        while (readLine(line, deadline)) {
            std::size_t size = 0;
            std::from_chars(line.data(), line.data() + line.size(), size, 16);
            message.complete = size == 0 && readLine(line, deadline);
            std::string end;
            if (size == 0 || !readExactly(message.body, size, deadline) || !readExactly(end, 2, deadline)) {
                return;
            }
        }
    } else if (!length.empty()) {
        std::size_t size = 0;
        std::from_chars(length.data(), length.data() + length.size(), size);
        message.complete = readExactly(message.body, size, deadline);
    } else if (!isAnswer || message.status() == NoContent) {
        message.complete = true;
    } else {
        while (true) {
            message.body += std::exchange(m_buffer, {});
            const auto result = fill(deadline);
            if (result != ReadResult::Bytes) {
                message.complete = result == ReadResult::Ended;
                return;
            }
        }
    }
}

std::optional<HttpMessage> Connection::readMessage(TimePoint deadline)
{
    auto message = readHead(deadline);
    if (message) {
        readBody(*message, deadline);
    }
    return message;
}

bool Connection::awaitClosed(TimePoint deadline)
{
    while (true) {
        m_buffer.clear();
        const auto result = fill(deadline);
        if (result != ReadResult::Bytes) {
            return result != ReadResult::TimedOut;
        }
    }
}

void Connection::reset()
{
    const linger abort{ 1, 0 };
    ::setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
}

void Connection::shutDown()
{
    ::shutdown(m_fd, SHUT_RDWR);
}

Server::Server(int port, Handler handler)
    : m_fd(listenOn(port))
    , m_handler(std::move(handler))
    , m_acceptor([this] {
        accept();
    })
{
}

Server::~Server()
{
    close();
}

void Server::close()
{
    if (m_closed.exchange(true)) {
        return;
    }
    m_acceptor.join();
    ::close(m_fd);
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &[number, connection] : m_connections) {
            connection->reset();
            connection->shutDown();
        }
    }
    while (m_served > 0) {
        std::this_thread::sleep_for(Milliseconds(1));
    }
}

void Server::accept()
{
    constexpr Milliseconds CheckInterval(50);
    while (!m_closed) {
        if (!awaitReady(m_fd, POLLIN, Clock::now() + CheckInterval)) {
            continue;
        }
        const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
            continue;
        }
        auto connection = std::make_shared<Connection>(fd);
        const std::lock_guard lock(m_mutex);
        const std::size_t number = ++m_lastConnection;
        m_connections.emplace(number, connection);
        ++m_served;
        std::thread([this, number, connection]() mutable {
            m_handler(*connection);
            {
                const std::lock_guard connectionsLock(m_mutex);
                m_connections.erase(number);
            }
            connection.reset();
            --m_served;
        }).detach();
    }
}

std::string serializeHead(const std::string &firstLine, const Headers &headers, std::size_t bodyBytes)
{
    std::string out = firstLine + "\r\n";
    for (const auto &[name, value] : headers) {
        out.append(name).append(": ").append(value).append("\r\n");
    }
    if (bodyBytes > 0 || firstLine.starts_with("HTTP/") || firstLine.starts_with("POST")) {
        out += "Content-Length: " + std::to_string(bodyBytes) + "\r\n";
    }
    out += "\r\n";
    return out;
}

std::string serialize(const std::string &firstLine, const Headers &headers, const std::string &body)
{
    return serializeHead(firstLine, headers, body.size()) + body;
}

std::optional<HttpMessage>
exchange(int port, const std::string &firstLine, const Headers &headers, const std::string &body, Milliseconds timeout)
{
    const TimePoint deadline = Clock::now() + timeout;
    const auto connection = Connection::open(port);
    if (!connection) {
        return std::nullopt;
    }
    // An answer may come before the whole request is sent.
    if (connection->send(serializeHead(firstLine, headers, body.size()), deadline)) {
        (void)connection->send(body, deadline);
    }
    return connection->readMessage(deadline);
}

} // namespace Review
