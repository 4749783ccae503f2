#include "standins/platform/standinhandlers.h"

#include "standins/platform/standintable.h"
#include "storage/http/requestsigner.h"
#include "storage/http/tablecodec.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/String.h>
#include <Poco/StringTokenizer.h>
#include <Poco/URI.h>
#include <thread>

namespace Pimentohollow
{

namespace
{

using Poco::Net::HTTPRequestHandler;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr std::chrono::seconds HangTime{ 30 };

std::string readBody(HTTPServerRequest &request)
{
    std::istream &stream = request.stream();
    return { std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>() };
}

/** The part of an Authorization header after "name=", up to the next comma. */
std::string authorizationPart(const std::string &header, const std::string &name)
{
    const std::size_t at = header.find(name + "=");
    if (at == std::string::npos) {
        return {};
    }
    const std::size_t first = at + name.size() + 1;
    return header.substr(first, header.find(',', first) - first);
}

/** Computes the signature anew from the request as it arrived. */
bool signatureMatches(const StandinState &state, const HTTPServerRequest &request, const std::string &body)
{
    const std::string header = request.get("Authorization", "");
    const Poco::StringTokenizer credential(authorizationPart(header, "Credential"), "/");
    if (credential.count() != 5 || credential[0] != state.accessKeyId) {
        return false;
    }
    SignableRequest signable{ request.getMethod(), request.getURI(), "", {}, RequestSigner::sha256Hex(body) };
    for (const auto &it : Poco::StringTokenizer(authorizationPart(header, "SignedHeaders"), ";")) {
        signable.headers[it] = request.get(it, "");
    }
    if (!signable.headers.contains("host") || request.get("x-amz-content-sha256", "") != signable.payloadHash) {
        return false;
    }
    const RequestSigner signer(state.accessKeyId, state.secretAccessKey, credential[2], credential[3]);
    return signer.authorization(signable, request.get("x-amz-date", "")) == header;
}

void sendText(HTTPServerResponse &response, int status, const std::string &type, const std::string &body)
{
    response.setStatus(static_cast<HTTPServerResponse::HTTPStatus>(status));
    response.setContentType(type);
    response.sendBuffer(body.data(), body.size());
}

void sendObjectFault(HTTPServerResponse &response, int status, const std::string &code)
{
    sendText(response, status, "application/xml", "<Error><Code>" + code + "</Code></Error>");
}

class ServiceHandler : public HTTPRequestHandler
{
public:
    explicit ServiceHandler(std::shared_ptr<StandinState> state)
        : m_state(std::move(state))
    {
    }

    void handleRequest(HTTPServerRequest &request, HTTPServerResponse &response) override
    {
        const std::string body = readBody(request);
        const bool isTable = request.getURI() == "/";
        const std::string target = request.get("x-amz-target", "");
        const std::string operation = target.substr(std::min(target.find('.') + 1, target.size()));
        const bool isWrite = isTable ? operation == "TransactWriteItems" : request.getMethod() != "GET";
        std::this_thread::sleep_for(m_state->control.behaviour().delay);
        switch (m_state->control.judge(isWrite)) {
        case StandinVerdict::Hang:
            hang();
            [[fallthrough]];
        case StandinVerdict::Close:
            response.setKeepAlive(false);
            return;
        case StandinVerdict::Throttle:
            throttle(isTable, response);
            return;
        case StandinVerdict::ExecuteAndLoseAnswer:
            execute(isTable, operation, request, body, nullptr);
            response.setKeepAlive(false);
            return;
        case StandinVerdict::Execute:
            execute(isTable, operation, request, body, &response);
            return;
        }
    }

private:
    /** Waits until the hang time is over or the behaviour changes, so that a stand-in can also be stopped while it hangs. */
    void hang() const
    {
        const auto end = std::chrono::steady_clock::now() + HangTime;
        while (m_state->control.behaviour().outage == StandinOutage::Hang && std::chrono::steady_clock::now() < end) {
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
    }

    static void throttle(bool isTable, HTTPServerResponse &response)
    {
        if (!isTable) {
            sendObjectFault(response, 503, "SlowDown");
            return;
        }
        const StandinAnswer answer = tableFault("ThrottlingException", "Rate exceeded");
        sendText(response, answer.status, "application/x-amz-json-1.0", answer.body);
    }

    /** @param response null if the answer gets lost */
    void
    execute(bool isTable, const std::string &operation, HTTPServerRequest &request, const std::string &body, HTTPServerResponse *response)
    {
        const bool valid = signatureMatches(*m_state, request, body);
        if (!valid) {
            m_state->control.countBadSignature();
        }
        if (isTable) {
            const StandinAnswer answer = valid ? executeTableRequest(m_state->table, operation, body)
                                               : tableFault("InvalidSignatureException", "The request signature does not match");
            if (response != nullptr) {
                sendText(*response, answer.status, "application/x-amz-json-1.0", answer.body);
            }
            return;
        }
        if (valid) {
            executeObject(request, body, response);
        } else if (response != nullptr) {
            sendObjectFault(*response, 403, "SignatureDoesNotMatch");
        }
    }

    void executeObject(HTTPServerRequest &request, const std::string &body, HTTPServerResponse *response)
    {
        std::string key;
        Poco::URI::decode(request.getURI(), key);
        if (request.getMethod() == "GET") {
            const auto object = m_state->objects.get(key);
            if (*object) {
                sendText(*response, 200, "application/octet-stream", **object);
            } else {
                sendObjectFault(*response, 404, "NoSuchKey");
            }
            return;
        }
        const bool isPut = request.getMethod() == "PUT";
        const auto result = isPut ? m_state->objects.put(key, body) : m_state->objects.remove(key);
        if (response == nullptr) {
            return;
        }
        if (isPut) {
            sendText(*response, result ? 200 : 400, "application/xml", "");
        } else {
            response->setStatus(HTTPServerResponse::HTTP_NO_CONTENT);
            response->send();
        }
    }

    std::shared_ptr<StandinState> m_state;
};

class ControlHandler : public HTTPRequestHandler
{
public:
    ControlHandler(std::shared_ptr<StandinState> state, std::function<void(const StandinBehaviour &)> set)
        : m_state(std::move(state))
        , m_set(std::move(set))
    {
    }

    void handleRequest(HTTPServerRequest &request, HTTPServerResponse &response) override
    {
        if (request.getURI() != "/behaviour") {
            sendText(response, 404, "text/plain", "use /behaviour\n");
            return;
        }
        if (request.getMethod() == "PUT" && !update(readBody(request))) {
            sendText(response, 400, "text/plain", "malformed behaviour\n");
            return;
        }
        sendText(response, 200, "application/json", describe());
    }

private:
    /** Fields that are absent keep their values. */
    bool update(const std::string &body)
    {
        const auto object = parseJsonObject(body);
        if (!object) {
            return false;
        }
        StandinBehaviour behaviour = m_state->control.behaviour();
        try {
            const auto outage = object->optValue<std::string>("outage", std::string(StandinOutageNames.name(behaviour.outage)));
            if (!StandinOutageNames.value(outage)) {
                return false;
            }
            behaviour.outage = *StandinOutageNames.value(outage);
            behaviour.delay = std::chrono::milliseconds(object->optValue<std::uint64_t>("delay_ms", behaviour.delay.count()));
            behaviour.loseAnswers = object->optValue<std::uint64_t>("lose_answers", behaviour.loseAnswers);
            behaviour.writesPerSecond = object->optValue<std::uint64_t>("writes_per_second", behaviour.writesPerSecond);
            behaviour.readsPerSecond = object->optValue<std::uint64_t>("reads_per_second", behaviour.readsPerSecond);
        } catch (const Poco::Exception &) {
            return false;
        }
        m_set(behaviour);
        return true;
    }

    std::string describe() const
    {
        const StandinBehaviour behaviour = m_state->control.behaviour();
        const StandinCounters counters = m_state->control.counters();
        Poco::JSON::Object object;
        object.set("outage", std::string(StandinOutageNames.name(behaviour.outage)));
        object.set("delay_ms", behaviour.delay.count());
        object.set("lose_answers", behaviour.loseAnswers);
        object.set("writes_per_second", behaviour.writesPerSecond);
        object.set("reads_per_second", behaviour.readsPerSecond);
        object.set("reads", counters.reads);
        object.set("writes", counters.writes);
        object.set("throttled", counters.throttled);
        object.set("lost_answers", counters.lostAnswers);
        object.set("bad_signatures", counters.badSignatures);
        return jsonText(object) + "\n";
    }

    std::shared_ptr<StandinState> m_state;
    std::function<void(const StandinBehaviour &)> m_set;
};

/** Makes a handler per request, as the server expects. */
class HandlerFactory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit HandlerFactory(std::function<std::unique_ptr<HTTPRequestHandler>()> make)
        : m_make(std::move(make))
    {
    }

    HTTPRequestHandler *createRequestHandler(const HTTPServerRequest &) override
    {
        return m_make().release();
    }

private:
    std::function<std::unique_ptr<HTTPRequestHandler>()> m_make;
};

} // namespace

Poco::Net::HTTPRequestHandlerFactory::Ptr makeServiceHandlers(const std::shared_ptr<StandinState> &state)
{
    return Poco::makeShared<HandlerFactory>([state] {
        return std::make_unique<ServiceHandler>(state);
    });
}

Poco::Net::HTTPRequestHandlerFactory::Ptr makeControlHandlers(const std::shared_ptr<StandinState> &state,
                                                              std::function<void(const StandinBehaviour &)> set)
{
    return Poco::makeShared<HandlerFactory>([state, set = std::move(set)] {
        return std::make_unique<ControlHandler>(state, set);
    });
}

} // namespace Pimentohollow
