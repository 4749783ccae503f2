#pragma once

#include "standinstate.h"

#include <optional>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/SocketAddress.h>

namespace Pimentohollow::Testing
{

/** Body text that makes the stand-in crash. */
inline constexpr const char *PoisonMarker = "poison-marker";

/**
 * Answers the stand-in's requests.
 *
 * /_control/set?name=value changes the behaviour, /_control/runs?id=X and /_control/head?id=X report what was seen,
 * /_control/summary reports totals, /health is answered as told. Everything else echoes the request's body.
 * Request headers: X-Test-Id (counted; else Idempotency-Key), X-Service-Us, X-Status, X-Child-Target with
 * X-Child-Forget-Id (calls a child service through the chain listener and returns its answer's body).
 */
class StandinHandler : public Poco::Net::HTTPRequestHandler
{
public:
    StandinHandler(StandinState &state, std::optional<Poco::Net::SocketAddress> chain);

    void handleRequest(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) override;

private:
    void control(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    void serve(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response, const std::string &body);
    /** Spends the service time; false if the caller went away meanwhile. */
    bool spendServiceTime(Poco::Net::HTTPServerRequest &request);
    std::string callChild(const Poco::Net::HTTPServerRequest &request, const std::string &target);

    StandinState &m_state;
    std::optional<Poco::Net::SocketAddress> m_chain;
};

class StandinHandlerFactory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    StandinHandlerFactory(StandinState &state, std::optional<Poco::Net::SocketAddress> chain);

    Poco::Net::HTTPRequestHandler *createRequestHandler(const Poco::Net::HTTPServerRequest &request) override;

private:
    StandinState &m_state;
    std::optional<Poco::Net::SocketAddress> m_chain;
};

} // namespace Pimentohollow::Testing
