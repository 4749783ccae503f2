#pragma once

#include "standinstate.h"

#include <condition_variable>
#include <mutex>
#include <Poco/Net/SocketAddress.h>
#include <string>
#include <thread>

namespace Pimentohollow::Testing
{

/** Announces the stand-in to its node every 250 ms, as an upstream does. */
class Announcer
{
public:
    Announcer(const StandinState &state, const Poco::Net::SocketAddress &node, std::string service, std::string address);
    ~Announcer();
    Announcer(const Announcer &) = delete;
    Announcer &operator=(const Announcer &) = delete;

private:
    void run();
    void announce();

    const StandinState &m_state;
    Poco::Net::SocketAddress m_node;
    std::string m_service;
    std::string m_address;
    std::mutex m_mutex;
    std::condition_variable m_stop;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace Pimentohollow::Testing
