#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

/** Blocking sockets and HTTP/1.1 for the stand-ins of the review. All addresses are on 127.0.0.1. */
namespace Review
{

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;
using Headers = std::vector<std::pair<std::string, std::string>>;

/** Returns @p count different ports that no other process uses. */
std::vector<int> freePorts(std::size_t count);

struct HttpMessage {
    /** "GET /path HTTP/1.1" or "HTTP/1.1 200 OK". */
    std::string firstLine;
    Headers headers;
    std::string body;
    /** True if the body is as long as its framing says, or ended with an orderly end of the connection. */
    bool complete = false;

    /** Value of the header, or an empty text. */
    std::string header(std::string_view name) const;
    /** Words of the first line. */
    std::string word(std::size_t index) const;
    int status() const;
    /** True if the sender closes the connection after this message. */
    bool closes() const;
};

/** A TCP connection; closed by the destructor. */
class Connection
{
public:
    explicit Connection(int fd);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /** Returns nothing if the port accepts no connection in time. */
    static std::unique_ptr<Connection> open(int port, Milliseconds timeout = Milliseconds(1000));

    bool send(std::string_view bytes, TimePoint deadline = TimePoint::max());
    /** Reads a head without its body; returns nothing if the connection ends or the time is up before. */
    std::optional<HttpMessage> readHead(TimePoint deadline);
    /** Reads the body that belongs to the head in @p message. */
    void readBody(HttpMessage &message, TimePoint deadline);
    /** Reads a whole message. */
    std::optional<HttpMessage> readMessage(TimePoint deadline);
    /** True if the peer has closed the connection, or the deadline passes without that (false). Discards what is received. */
    bool awaitClosed(TimePoint deadline);
    /** Closes with a reset. */
    void reset();
    void shutDown();

private:
    enum class ReadResult {
        Bytes,
        Ended,
        Failed,
        TimedOut,
    };
    ReadResult fill(TimePoint deadline);
    bool readExactly(std::string &out, std::size_t count, TimePoint deadline);
    bool readLine(std::string &line, TimePoint deadline);

    int m_fd;
    std::string m_buffer;
};

/** Accepts connections and serves each in a thread of its own. */
class Server
{
public:
    using Handler = std::function<void(Connection &)>;

    Server(int port, Handler handler);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /** Stops listening and resets the open connections, like a process that is killed. */
    void close();

private:
    void accept();

    int m_fd = -1;
    Handler m_handler;
    std::atomic<bool> m_closed{ false };
    std::mutex m_mutex;
    std::map<std::size_t, std::shared_ptr<Connection>> m_connections;
    std::size_t m_lastConnection = 0;
    std::atomic<int> m_served{ 0 };
    std::thread m_acceptor;
};

std::string serializeHead(const std::string &firstLine, const Headers &headers, std::size_t bodyBytes);
std::string serialize(const std::string &firstLine, const Headers &headers, const std::string &body);

/** Sends one request on a new connection. Returns nothing without an answer that has a whole head. */
std::optional<HttpMessage>
exchange(int port, const std::string &firstLine, const Headers &headers, const std::string &body, Milliseconds timeout);

} // namespace Review
