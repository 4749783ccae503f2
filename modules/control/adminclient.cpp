#include "control/adminclient.h"

#include "http/reading/responsereader.h"

#include <memory>
#include <Poco/Net/Context.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPSClientSession.h>
#include <Poco/Timespan.h>
#include <Poco/URI.h>

namespace Pimentohollow
{

namespace
{

constexpr long TimeoutSeconds = 2;
constexpr const char *Step = "admin.call";

std::unique_ptr<Poco::Net::HTTPClientSession> makeSession(const AdminCall &call, const Poco::URI &uri)
{
    if (uri.getScheme() != "https") {
        return std::make_unique<Poco::Net::HTTPClientSession>(uri.getHost(), uri.getPort());
    }
    using Poco::Net::Context;
    Context::Ptr context = new Context(Context::TLS_CLIENT_USE, // NOLINT(cppcoreguidelines-owning-memory): counted by its Ptr
                                       "",
                                       "",
                                       call.authoritiesFile,
                                       Context::VERIFY_RELAXED,
                                       9,
                                       call.authoritiesFile.empty());
    return std::make_unique<Poco::Net::HTTPSClientSession>(uri.getHost(), uri.getPort(), context);
}

Result<AdminAnswer> receive(Poco::Net::HTTPClientSession &session, const std::string &peer)
{
    // POCO's reader isn't used: it takes a body that ends early for whole and accepts malformed heads.
    ByteStream stream(session.socket());
    auto response = readResponse(stream, false, {}, std::chrono::steady_clock::now() + std::chrono::seconds(TimeoutSeconds));
    if (!response) {
        const bool tooLarge = response.error() == ReadError::TooLarge;
        return failure(tooLarge ? ErrorKind::InvalidInput : ErrorKind::OutcomeUnknown,
                       Step,
                       "no valid answer: " + std::string(ReadErrorNames.name(response.error())),
                       peer);
    }
    return AdminAnswer{ response->message.status, std::move(response->message.body) };
}

} // namespace

Result<AdminAnswer> callAdminOverHttp(const AdminCall &call)
{
    bool sent = false;
    try {
        const Poco::URI uri(call.url);
        const auto session = makeSession(call, uri);
        const Poco::Timespan limit(TimeoutSeconds, 0);
        session->setTimeout(limit, limit, limit);
        Poco::Net::HTTPRequest request(call.method, call.path, Poco::Net::HTTPMessage::HTTP_1_1);
        request.set("Authorization", "Bearer " + call.operatorToken.reveal());
        request.setContentType("application/json");
        request.setContentLength(static_cast<std::streamsize>(call.body.size()));
        std::ostream &stream = session->sendRequest(request);
        stream.write(call.body.data(), static_cast<std::streamsize>(call.body.size()));
        stream.flush();
        sent = true;
        return receive(*session, call.url);
    } catch (const Poco::Exception &exception) {
        return failure(sent ? ErrorKind::OutcomeUnknown : ErrorKind::Unavailable, Step, exception.displayText(), call.url);
    }
}

} // namespace Pimentohollow
