#include "storage/http/platformclient.h"

#include "http/reading/responsereader.h"

#include <fmt/format.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPSClientSession.h>
#include <Poco/Net/NetException.h>
#include <Poco/Timespan.h>
#include <Poco/URI.h>

namespace Pimentohollow
{

namespace
{

/** The largest answer is a snapshot of the fleet configuration, about 200 KB at the large size; a table page has 1 MB. */
constexpr std::size_t MaximumAnswerBytes = std::size_t{ 16 } * 1024 * 1024;
constexpr std::size_t MaximumIdleConnections = 8;
constexpr int VerificationDepth = 9;

using std::chrono::steady_clock;

Poco::Timespan remaining(steady_clock::time_point deadline)
{
    const auto left = std::chrono::duration_cast<std::chrono::microseconds>(deadline - steady_clock::now());
    return Poco::Timespan(std::max<Poco::Timespan::TimeDiff>(left.count(), 1000));
}

/** False for a connection that the service has closed: an idle one becomes readable only then. */
bool isQuiet(Poco::Net::HTTPClientSession &session)
{
    try {
        return session.connected() && !session.socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
    } catch (const Poco::Exception &) {
        return false;
    }
}

} // namespace

PlatformClient::PlatformClient(PlatformEndpoint endpoint, const std::string &service, const Clock &clock)
    : m_endpoint(std::move(endpoint))
    , m_signer(m_endpoint.accessKeyId, m_endpoint.secretAccessKey, m_endpoint.region, service)
    , m_clock(clock)
{
    const Poco::URI uri(m_endpoint.url);
    m_secure = uri.getScheme() == "https";
    m_host = uri.getHost();
    m_port = uri.getPort();
    m_peer = fmt::format("{}:{}", m_host, m_port);
    if (m_secure) {
        using Poco::Net::Context;
        const bool systemAuthorities = m_endpoint.authoritiesFile.empty();
        m_context = new Context(Context::TLS_CLIENT_USE, // NOLINT(cppcoreguidelines-owning-memory): counted by its Ptr
                                "",
                                "",
                                m_endpoint.authoritiesFile,
                                Context::VERIFY_RELAXED,
                                VerificationDepth,
                                systemAuthorities);
    }
}

PlatformClient::~PlatformClient() = default;

const std::string &PlatformClient::peer() const
{
    return m_peer;
}

Result<PlatformAnswer> PlatformClient::send(const PlatformCall &call)
{
    const Deadline deadline = steady_clock::now() + m_endpoint.timeout;
    Session idle = takeIdle();
    if (!idle) {
        return attempt(makeSession(), call, deadline);
    }
    auto first = attempt(std::move(idle), call, deadline);
    if (first || first.error().kind == ErrorKind::Timeout || steady_clock::now() >= deadline) {
        return first;
    }
    auto second = attempt(makeSession(), call, deadline);
    // Nothing happened in the second attempt, but the first one may have taken effect.
    if (!second && second.error().kind == ErrorKind::Unavailable) {
        return first;
    }
    return second;
}

PlatformClient::Session PlatformClient::takeIdle()
{
    const std::lock_guard lock(m_mutex);
    while (!m_idle.empty()) {
        Session session = std::move(m_idle.back());
        m_idle.pop_back();
        if (isQuiet(*session)) {
            return session;
        }
    }
    return nullptr;
}

PlatformClient::Session PlatformClient::makeSession() const
{
    Session session;
    if (m_secure) {
        session = std::make_unique<Poco::Net::HTTPSClientSession>(m_host, m_port, m_context);
    } else {
        session = std::make_unique<Poco::Net::HTTPClientSession>(m_host, m_port);
    }
    session->setKeepAlive(true);
    return session;
}

void PlatformClient::keepIdle(Session session)
{
    const std::lock_guard lock(m_mutex);
    if (m_idle.size() < MaximumIdleConnections) {
        m_idle.push_back(std::move(session));
    }
}

Result<PlatformAnswer> PlatformClient::attempt(Session session, const PlatformCall &call, Deadline deadline)
{
    const Poco::Timespan limit = remaining(deadline);
    session->setTimeout(limit, limit, limit);
    const std::string problem = sendRequest(*session, call);
    if (!problem.empty()) {
        return fail(call, ErrorKind::Unavailable, problem);
    }
    bool reusable = false;
    auto answer = receive(*session, call, deadline, reusable);
    if (answer && reusable) {
        keepIdle(std::move(session));
    }
    return answer;
}

std::string PlatformClient::sendRequest(Poco::Net::HTTPClientSession &session, const PlatformCall &call) const
{
    const std::string time = RequestSigner::timeText(m_clock.wallNow());
    SignableRequest signable{ call.method, call.path, "", call.headers, RequestSigner::sha256Hex(call.body) };
    signable.headers["host"] = m_peer;
    signable.headers["x-amz-date"] = time;
    signable.headers["x-amz-content-sha256"] = signable.payloadHash;

    Poco::Net::HTTPRequest request(call.method, call.path, Poco::Net::HTTPMessage::HTTP_1_1);
    for (const auto &[name, value] : signable.headers) {
        request.set(name, value);
    }
    request.set("Authorization", m_signer.authorization(signable, time));
    request.setContentLength(static_cast<std::streamsize>(call.body.size()));
    try {
        std::ostream &stream = session.sendRequest(request);
        stream.write(call.body.data(), static_cast<std::streamsize>(call.body.size()));
        stream.flush();
        // The service can't act on a call whose announced length it didn't receive.
        return stream.good() ? std::string() : std::string("the connection failed while the call was sent");
    } catch (const Poco::Exception &exception) {
        return "can't connect or send: " + exception.displayText();
    }
}

Result<PlatformAnswer>
PlatformClient::receive(Poco::Net::HTTPClientSession &session, const PlatformCall &call, Deadline deadline, bool &reusable) const
{
    const ErrorKind lost = call.effect == CallEffect::Write ? ErrorKind::OutcomeUnknown : ErrorKind::Unavailable;
    try {
        // Bounds the rest of a TLS record, of which poll() reports only the first bytes.
        session.socket().setReceiveTimeout(remaining(deadline));
        // POCO's reader isn't used: it accepts malformed heads.
        ByteStream stream(session.socket());
        ResponseLimits limits;
        limits.maximumBodyBytes = MaximumAnswerBytes;
        auto response = readResponse(stream, call.method == "HEAD", limits, deadline);
        if (!response) {
            const ErrorKind kind = response.error() == ReadError::Timeout ? ErrorKind::Timeout : lost;
            return fail(call, kind, "no valid answer: " + std::string(ReadErrorNames.name(response.error())));
        }
        reusable = response->reusable;
        return PlatformAnswer{ response->message.status, std::move(response->message.body) };
    } catch (const Poco::Exception &exception) {
        return fail(call, lost, "no valid answer: " + exception.displayText());
    }
}

tl::unexpected<Error> PlatformClient::fail(const PlatformCall &call, ErrorKind kind, const std::string &message) const
{
    return failure(kind, call.step, message, m_peer);
}

} // namespace Pimentohollow
