#pragma once

#include "core/error.h"
#include "http/reading/requestreader.h"
#include "http/server/connectionregistry.h"
#include "http/server/disconnectwatcher.h"
#include "http/server/requesthandler.h"

#include <memory>
#include <optional>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>
#include <string>

namespace Pimentohollow
{

/** Certificate chain and key of a TLS listener, as files in PEM format. */
struct TlsFiles {
    std::string certificateFile;
    std::string keyFile;
};

struct ListenerOptions {
    /** "address:port"; port 0 selects a free port. */
    std::string address;
    std::optional<TlsFiles> tls;
    RequestLimits limits;
    /** Further connections wait until another one closes. */
    int maximumConnections = 1400;
    /** How long a connection may wait for its next request. */
    Duration idleTimeout = std::chrono::seconds(75);
    /** Maximum time for which a blocked send of a response waits for the caller to accept bytes. */
    Duration sendTimeout = std::chrono::seconds(10);
};

/**
 * HTTP/1.1 listener with one thread per connection.
 *
 * POCO's TCPServer provides threads and sockets; RequestReader reads the requests.
 * @see RequestHandler
 */
class CallerServer
{
public:
    /** Opens the port and serves until finishDrain() or destruction. */
    static Result<std::unique_ptr<CallerServer>> start(const ListenerOptions &options, RequestHandler &handler, DisconnectWatcher &watcher);

    ~CallerServer();
    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;

    int port() const;
    std::size_t connectionCount() const;

    /** Sends "Connection: close" with every response from now on; still accepts connections. */
    void beginDrain();

    /** Stops accepting, closes idle connections and waits for running requests; false if some still ran at the deadline. */
    bool finishDrain(TimePoint deadline);

private:
    CallerServer(const Poco::Net::ServerSocket &socket,
                 const ListenerOptions &options,
                 RequestHandler &handler,
                 DisconnectWatcher &watcher);

    ListenerOptions m_options;
    ConnectionRegistry m_registry;
    Poco::ThreadPool m_threads;
    Poco::Net::ServerSocket m_socket;
    std::unique_ptr<Poco::Net::TCPServer> m_server;
    bool m_acceptStopped = false;
};

} // namespace Pimentohollow
