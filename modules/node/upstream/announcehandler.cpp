#include "node/upstream/announcehandler.h"

#include "http/rules/problemresponse.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

namespace Pimentohollow
{

namespace
{

HttpResponseMessage refused(RefusalReason reason, const std::string &detail)
{
    return problemResponse({ reason, RunState::NotRun, {}, detail });
}

} // namespace

AnnounceHandler::AnnounceHandler(AnnouncedUpstream &upstream, std::function<void()> onRestart)
    : m_upstream(upstream)
    , m_onRestart(std::move(onRestart))
{
}

HttpResponseMessage AnnounceHandler::handle(HttpRequestMessage request, Cancellation & /*cancellation*/)
{
    if (request.method != "PUT" || request.target != "/v1/upstream") {
        return refused(RefusalReason::NoRoute, "expected PUT /v1/upstream");
    }
    const auto announcement = parseAnnouncement(request.body);
    if (!announcement) {
        return refused(RefusalReason::BadRequest, announcement.error().message);
    }
    const auto otherProcess = m_upstream.announce(*announcement);
    if (!otherProcess) {
        return refused(RefusalReason::BadRequest, otherProcess.error().message);
    }
    if (*otherProcess) {
        m_onRestart();
    }
    return { 204, "No Content", {}, {} };
}

Result<Announcement> parseAnnouncement(const std::string &json)
{
    try {
        Poco::JSON::Parser parser;
        const auto object = parser.parse(json).extract<Poco::JSON::Object::Ptr>();
        const auto state = UpstreamStateNames.value(object->getValue<std::string>("state"));
        if (!state) {
            return failure(ErrorKind::InvalidInput, "upstream.announce", "unknown state");
        }
        return Announcement{ ServiceName(object->getValue<std::string>("service")),
                             object->getValue<std::string>("address"),
                             *state,
                             object->getValue<std::uint64_t>("incarnation") };
    } catch (const Poco::Exception &ex) {
        return failure(ErrorKind::InvalidInput, "upstream.announce", ex.displayText());
    }
}

} // namespace Pimentohollow
