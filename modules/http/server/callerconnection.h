#pragma once

#include "http/reading/requestreader.h"
#include "http/server/callerserver.h"

#include <Poco/Net/TCPServerConnection.h>

namespace Pimentohollow
{

/** Dependencies shared by the connections of a listener. */
struct ConnectionEnvironment {
    const ListenerOptions &options;
    ConnectionRegistry &registry;
    RequestHandler &handler;
    DisconnectWatcher &watcher;
};

/** Serves the requests of one caller connection sequentially. */
class CallerConnection : public Poco::Net::TCPServerConnection
{
public:
    CallerConnection(const Poco::Net::StreamSocket &socket, const ConnectionEnvironment &environment);

    void run() override;

private:
    void serveRequests(ConnectionRegistry::Entry &entry);
    /** Serves one request; false if the connection has to be closed. */
    bool serveRequest(ByteStream &stream);
    HttpResponseMessage callHandler(HttpRequestMessage request, Cancellation &cancellation);
    void sendErrorResponse(const RequestError &error);

    ConnectionEnvironment m_environment;
};

} // namespace Pimentohollow
