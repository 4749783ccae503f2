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

AnnounceHandler::AnnounceHandler(LocalUpstream &upstream)
    : m_upstream(upstream)
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
    if (const auto taken = m_upstream.announce(*announcement); !taken) {
        return refused(RefusalReason::BadRequest, taken.error().message);
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
