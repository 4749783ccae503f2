#pragma once

#include "standins/platform/standinhandlers.h"

#include <cstdint>
#include <memory>
#include <mutex>
#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>

namespace Pimentohollow
{

/**
 * Stand-in for the users' platform: speaks the table and the object protocol on one port of 127.0.0.1, keeps everything
 * in memory, checks signatures, and misbehaves on demand through the control URL on another port.
 */
class PlatformStandin
{
public:
    static constexpr const char *AccessKeyId = "standin";
    static constexpr const char *SecretAccessKey = "standin-secret";

    /** @param port 0 picks a free one */
    explicit PlatformStandin(std::uint16_t port = 0, std::uint16_t controlPort = 0);
    ~PlatformStandin();

    PlatformStandin(const PlatformStandin &) = delete;
    PlatformStandin &operator=(const PlatformStandin &) = delete;

    std::uint16_t port() const;
    std::uint16_t controlPort() const;

    /** "http://127.0.0.1:PORT" */
    std::string url() const;

    void setBehaviour(const StandinBehaviour &behaviour);
    StandinCounters counters() const;

private:
    std::unique_ptr<Poco::Net::HTTPServer> startServer(std::uint16_t port, const Poco::Net::HTTPRequestHandlerFactory::Ptr &handlers);
    void listen();
    void stopListening();

    std::shared_ptr<StandinState> m_state;
    std::uint16_t m_port = 0;
    std::uint16_t m_controlPort = 0;
    std::mutex m_mutex;
    /** Owned, so that its threads end before OpenSSL frees the state of the process. */
    Poco::ThreadPool m_threads;
    std::unique_ptr<Poco::Net::HTTPServer> m_service;
    std::unique_ptr<Poco::Net::HTTPServer> m_control;
};

} // namespace Pimentohollow
