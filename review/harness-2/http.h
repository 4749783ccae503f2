#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <cstring>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <stdexcept>
#include <string>
#include <strings.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace Review
{

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

struct Address {
    std::string ip;
    int port = 0;

    std::string text() const
    {
        return ip + ":" + std::to_string(port);
    }
};

struct Message {
    /** The request line or the status line. */
    std::string firstLine;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(const std::string &name) const
    {
        for (const auto &[key, value] : headers) {
            if (::strcasecmp(key.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return {};
    }

    /** Of a request: "GET" of "GET /path HTTP/1.1". */
    std::string method() const
    {
        return firstLine.substr(0, firstLine.find(' '));
    }

    std::string target() const
    {
        const auto start = firstLine.find(' ') + 1;
        return firstLine.substr(start, firstLine.find(' ', start) - start);
    }

    /** Of a response. */
    int status() const
    {
        return std::atoi(firstLine.substr(std::min(firstLine.size(), firstLine.find(' ') + 1)).c_str());
    }
};

/** A blocking TCP connection with deadlines. */
class Connection
{
public:
    explicit Connection(int fd = -1)
        : m_fd(fd)
    {
        const int on = 1;
        ::setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Connection()
    {
        close();
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    static std::unique_ptr<Connection> open(const Address &address, Millis timeout = Millis(1000))
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const sockaddr_in remote = socketAddress(address);
        if (::connect(fd, reinterpret_cast<const sockaddr *>(&remote), sizeof remote) != 0 && errno != EINPROGRESS) {
            ::close(fd);
            return nullptr;
        }
        pollfd waiting{ fd, POLLOUT, 0 };
        int ec = 0;
        socklen_t size = sizeof ec;
        const bool ready = ::poll(&waiting, 1, static_cast<int>(timeout.count())) == 1;
        if (!ready || ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &ec, &size) != 0 || ec != 0) {
            ::close(fd);
            return nullptr;
        }
        return std::make_unique<Connection>(fd);
    }

    static sockaddr_in socketAddress(const Address &address)
    {
        sockaddr_in out{};
        out.sin_family = AF_INET;
        out.sin_port = htons(static_cast<std::uint16_t>(address.port));
        ::inet_pton(AF_INET, address.ip.c_str(), &out.sin_addr);
        return out;
    }

    int fd() const
    {
        return m_fd;
    }

    bool write(const std::string &bytes, Clock::time_point deadline = Clock::now() + std::chrono::seconds(30))
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const auto count = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
            if (count > 0) {
                sent += static_cast<std::size_t>(count);
            } else if (errno != EAGAIN || !await(POLLOUT, deadline)) {
                return false;
            }
        }
        return true;
    }

    /** Reads more bytes into the buffer; false at the end of the connection or at the deadline. */
    bool fill(Clock::time_point deadline)
    {
        if (!await(POLLIN, deadline)) {
            m_timedOut = true;
            return false;
        }
        char bytes[65536];
        const auto count = ::recv(m_fd, bytes, sizeof bytes, 0);
        if (count <= 0) {
            m_ended = count == 0 ? "closed" : "reset";
            return false;
        }
        m_buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    /** Reads a request or response with a length or in chunks. */
    std::optional<Message> read(Clock::time_point deadline)
    {
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(deadline)) {
                return std::nullopt;
            }
        }
        Message out = parseHead(m_buffer.substr(0, end + 2));
        m_buffer.erase(0, end + 4);
        if (::strcasecmp(out.header("Transfer-Encoding").c_str(), "chunked") == 0) {
            return readChunks(std::move(out), deadline);
        }
        const auto length = static_cast<std::size_t>(std::atoll(out.header("Content-Length").c_str()));
        while (m_buffer.size() < length) {
            if (!fill(deadline)) {
                return std::nullopt;
            }
        }
        out.body = m_buffer.substr(0, length);
        m_buffer.erase(0, length);
        return out;
    }

    /** True once the other side has closed or reset the connection. */
    bool closedByPeer() const
    {
        pollfd waiting{ m_fd, POLLRDHUP, 0 };
        return ::poll(&waiting, 1, 0) == 1;
    }

    bool timedOut() const
    {
        return m_timedOut;
    }

    /** How the connection ended, if it did. */
    const std::string &ended() const
    {
        return m_ended;
    }

    void close()
    {
        if (m_fd >= 0) {
            ::close(std::exchange(m_fd, -1));
        }
    }

private:
    bool await(short events, Clock::time_point deadline) const
    {
        const auto left = std::chrono::ceil<Millis>(deadline - Clock::now()).count();
        pollfd waiting{ m_fd, events, 0 };
        return left > 0 && ::poll(&waiting, 1, static_cast<int>(left)) == 1;
    }

    static Message parseHead(const std::string &text)
    {
        Message out;
        std::size_t at = text.find("\r\n");
        out.firstLine = text.substr(0, at);
        for (at += 2; at < text.size();) {
            const auto end = text.find("\r\n", at);
            const std::string line = text.substr(at, end - at);
            const auto colon = line.find(':');
            const auto value = line.find_first_not_of(' ', colon + 1);
            out.headers.emplace_back(line.substr(0, colon), value == std::string::npos ? std::string() : line.substr(value));
            at = end + 2;
        }
        return out;
    }

    std::optional<Message> readChunks(Message out, Clock::time_point deadline)
    {
        while (true) {
            std::size_t end = 0;
            while ((end = m_buffer.find("\r\n")) == std::string::npos) {
                if (!fill(deadline)) {
                    return std::nullopt;
                }
            }
            const auto size = static_cast<std::size_t>(std::strtoull(m_buffer.c_str(), nullptr, 16));
            while (m_buffer.size() < end + 2 + size + 2) {
                if (!fill(deadline)) {
                    return std::nullopt;
                }
            }
            out.body += m_buffer.substr(end + 2, size);
            m_buffer.erase(0, end + 2 + size + 2);
            if (size == 0) {
                return out;
            }
        }
    }

    int m_fd = -1;
    std::string m_buffer;
    bool m_timedOut = false;
    std::string m_ended;
};

inline std::string response(int status, const std::string &body, const std::vector<std::string> &headers = {})
{
    std::string out = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto &it : headers) {
        out += it + "\r\n";
    }
    return out + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** Serves each connection in a thread of its own. */
class Server
{
public:
    using Session = std::function<void(Connection &)>;

    Server(const Address &address, Session session)
        : m_session(std::move(session))
    {
        m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in local = Connection::socketAddress(address);
        if (::bind(m_fd, reinterpret_cast<const sockaddr *>(&local), sizeof local) != 0 || ::listen(m_fd, 256) != 0) {
            throw std::runtime_error("can't listen at " + address.text());
        }
        m_thread = std::thread([this] {
            accept();
        });
    }

    ~Server()
    {
        m_stopped = true;
        ::shutdown(m_fd, SHUT_RDWR);
        m_thread.join();
        ::close(m_fd);
        {
            const std::lock_guard lock(m_mutex);
            for (auto &it : m_sessions) {
                ::shutdown(it.connection->fd(), SHUT_RDWR);
            }
        }
        for (auto &it : m_sessions) {
            it.thread.join();
        }
    }

private:
    struct Running {
        std::unique_ptr<Connection> connection;
        std::thread thread;
        std::atomic<bool> done{ false };
    };

    void accept()
    {
        while (!m_stopped) {
            const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                continue;
            }
            const std::lock_guard lock(m_mutex);
            m_sessions.remove_if([](Running &it) {
                if (it.done) {
                    it.thread.join();
                }
                return it.done.load();
            });
            auto &session = m_sessions.emplace_back();
            session.connection = std::make_unique<Connection>(fd);
            session.thread = std::thread([this, &session] {
                m_session(*session.connection);
                ::shutdown(session.connection->fd(), SHUT_RDWR);
                session.done = true;
            });
        }
    }

    Session m_session;
    int m_fd = -1;
    std::atomic<bool> m_stopped{ false };
    std::thread m_thread;
    std::mutex m_mutex;
    std::list<Running> m_sessions;
};

} // namespace Review
