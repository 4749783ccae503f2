#pragma once

#include <atomic>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <string>
#include <thread>

namespace Pimentohollow
{

/** Answers each request with the same bytes and then ends the connection. */
class RawServer
{
public:
    enum class Ending {
        Orderly,
        Reset,
    };

    explicit RawServer(std::string answer, Ending ending = Ending::Orderly);
    ~RawServer();
    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    std::string url() const;

private:
    void serve();
    void answer(Poco::Net::StreamSocket &connection) const;

    std::string m_answer;
    Ending m_ending;
    Poco::Net::ServerSocket m_socket;
    std::atomic<bool> m_stop{ false };
    std::thread m_thread;
};

} // namespace Pimentohollow
