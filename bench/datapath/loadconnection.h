#pragma once

#include "http/http.h"

#include <Poco/Net/StreamSocket.h>
#include <string>

namespace Pimentohollow::Bench
{

/** One keep-alive connection that sends the same request again and again. */
class LoadConnection
{
public:
    LoadConnection(int port, const std::string &target, const std::string &headers);

    /** Sends the request and reads the answer; false if the answer isn't a complete 200. */
    bool exchange();

private:
    Poco::Net::StreamSocket m_socket;
    ByteStream m_stream;
    std::string m_request;
};

} // namespace Pimentohollow::Bench
