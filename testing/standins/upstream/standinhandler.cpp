#include "standinhandler.h"

#include <cstdlib>
#include <fmt/format.h>
#include <memory>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>
#include <poll.h>
#include <sstream>
#include <thread>

namespace Pimentohollow::Testing
{

namespace
{

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

std::string readAll(std::istream &stream)
{
    std::string text;
    Poco::StreamCopier::copyToString(stream, text);
    return text;
}

void sendText(HTTPServerResponse &response, const std::string &text)
{
    response.setContentLength64(static_cast<Poco::Int64>(text.size()));
    response.send() << text;
}

std::string headOf(const HTTPServerRequest &request)
{
    std::ostringstream stream;
    request.write(stream);
    return stream.str();
}

Poco::Net::StreamSocket &socketOf(HTTPServerRequest &request)
{
    return dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(request).socket();
}

bool callerGone(HTTPServerRequest &request)
{
    pollfd entry{ socketOf(request).impl()->sockfd(), POLLRDHUP, 0 };
    return ::poll(&entry, 1, 0) > 0 && (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

/** Returns the slot when the request ends. */
class Slot
{
public:
    explicit Slot(StandinState &state)
        : m_state(state)
    {
    }

    ~Slot()
    {
        m_state.leave();
    }

    Slot(const Slot &) = delete;
    Slot &operator=(const Slot &) = delete;

private:
    StandinState &m_state;
};

} // namespace

StandinHandler::StandinHandler(StandinState &state, std::optional<Poco::Net::SocketAddress> chain)
    : m_state(state)
    , m_chain(std::move(chain))
{
}

void StandinHandler::handleRequest(HTTPServerRequest &request, HTTPServerResponse &response)
{
    const std::string body = readAll(request.stream());
    if (request.getURI().starts_with("/_control/")) {
        control(request, response);
        return;
    }
    if (request.getURI() == "/health") {
        response.setStatus(m_state.behaviour().healthy ? HTTPServerResponse::HTTP_OK : HTTPServerResponse::HTTP_SERVICE_UNAVAILABLE);
        sendText(response, "health\n");
        return;
    }
    if (!m_state.enter()) {
        response.setStatus(HTTPServerResponse::HTTP_SERVICE_UNAVAILABLE);
        sendText(response, "shed\n");
        return;
    }
    const Slot slot(m_state);
    serve(request, response, body);
}

void StandinHandler::control(HTTPServerRequest &request, HTTPServerResponse &response)
{
    const Poco::URI uri(request.getURI());
    const auto parameters = uri.getQueryParameters();
    if (uri.getPath() == "/_control/summary") {
        sendText(response, m_state.summary());
        return;
    }
    for (const auto &[name, value] : parameters) {
        if (uri.getPath() == "/_control/runs") {
            sendText(response, fmt::format("{}", m_state.runs(value)));
            return;
        }
        if (uri.getPath() == "/_control/head") {
            sendText(response, m_state.lastHead(value));
            return;
        }
        if (!m_state.change(name, value)) {
            response.setStatus(HTTPServerResponse::HTTP_BAD_REQUEST);
        }
    }
    sendText(response, "ok\n");
}

void StandinHandler::serve(HTTPServerRequest &request, HTTPServerResponse &response, const std::string &body)
{
    m_state.countRun(request.get("X-Test-Id", request.get("Idempotency-Key", "")), headOf(request));
    if (body.find(PoisonMarker) != std::string::npos) {
        std::_Exit(EXIT_FAILURE);
    }
    if (!spendServiceTime(request)) {
        m_state.countCancelled();
        return;
    }
    const std::string child = request.get("X-Child-Target", "");
    const std::string answer = child.empty() ? body : callChild(request, child);
    response.setStatus(static_cast<HTTPServerResponse::HTTPStatus>(std::stoi(request.get("X-Status", "200"))));
    response.setContentType("application/octet-stream");
    response.set("X-Upstream", "stand-in");
    if (m_state.behaviour().truncate) {
        response.setContentLength64(static_cast<Poco::Int64>(answer.size()));
        response.send() << answer.substr(0, answer.size() / 2) << std::flush;
        socketOf(request).shutdown();
        return;
    }
    sendText(response, answer);
}

bool StandinHandler::spendServiceTime(HTTPServerRequest &request)
{
    constexpr auto Step = std::chrono::milliseconds(5);
    auto left = m_state.currentServiceTime();
    if (request.has("X-Service-Us")) {
        left = std::chrono::microseconds(std::stoll(request.get("X-Service-Us")));
    }
    const auto end = std::chrono::steady_clock::now() + left;
    while (std::chrono::steady_clock::now() < end || m_state.behaviour().silent) {
        const auto rest = end - std::chrono::steady_clock::now();
        std::this_thread::sleep_for(m_state.behaviour().silent ? Step : std::min<std::chrono::nanoseconds>(rest, Step));
        if (callerGone(request)) {
            return false;
        }
    }
    return true;
}

std::string StandinHandler::callChild(const HTTPServerRequest &request, const std::string &target)
{
    constexpr const char *RequestId = "Pimentohollow-Request-Id";
    if (!m_chain) {
        return "no chain listener";
    }
    Poco::Net::HTTPClientSession session(*m_chain);
    Poco::Net::HTTPRequest child(request.getMethod(), target, Poco::Net::HTTPRequest::HTTP_1_1);
    if (!request.has("X-Child-Forget-Id")) {
        child.set(RequestId, request.get(RequestId, ""));
    }
    child.set("X-Test-Id", request.get("X-Test-Id", "") + "-child");
    child.setContentLength64(0);
    session.sendRequest(child);
    Poco::Net::HTTPResponse response;
    auto &stream = session.receiveResponse(response);
    return fmt::format("{} {}", static_cast<int>(response.getStatus()), readAll(stream));
}

StandinHandlerFactory::StandinHandlerFactory(StandinState &state, std::optional<Poco::Net::SocketAddress> chain)
    : m_state(state)
    , m_chain(std::move(chain))
{
}

Poco::Net::HTTPRequestHandler *StandinHandlerFactory::createRequestHandler(const HTTPServerRequest & /*request*/)
{
    return std::make_unique<StandinHandler>(m_state, m_chain).release(); // owned by POCO's connection
}

} // namespace Pimentohollow::Testing
