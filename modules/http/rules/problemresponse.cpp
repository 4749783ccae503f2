#include "http/rules/problemresponse.h"

#include <fmt/format.h>
#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPResponse.h>
#include <sstream>

namespace Pimentohollow
{

namespace
{

std::string problemBody(const Refusal &refusal, std::uint16_t status)
{
    const std::string reason(RefusalReasonNames.name(refusal.reason));
    Poco::JSON::Object problem(Poco::JSON_PRESERVE_KEY_ORDER);
    problem.set("type", "urn:pimentohollow:" + reason);
    problem.set("title", reasonPhrase(status));
    problem.set("status", status);
    problem.set("reason", reason);
    problem.set("ran", std::string(RunStateNames.name(refusal.ran)));
    if (!refusal.detail.empty()) {
        problem.set("detail", refusal.detail);
    }
    std::ostringstream stream;
    problem.stringify(stream);
    return stream.str();
}

} // namespace

std::uint16_t refusalStatus(const Refusal &refusal)
{
    switch (refusal.reason) {
    case RefusalReason::BadRequest:
        return 400;
    case RefusalReason::Unauthorized:
        return 401;
    case RefusalReason::NoRoute:
        return 404;
    case RefusalReason::InProgress:
        return 409;
    case RefusalReason::IdempotencyKeyReused:
    case RefusalReason::Poison:
        return 422;
    case RefusalReason::RateExceeded:
        return 429;
    case RefusalReason::DeadlineExceeded:
        return 504;
    default:
        return 503;
    }
}

HttpResponseMessage problemResponse(const Refusal &refusal)
{
    return problemResponse(refusal, refusalStatus(refusal));
}

HttpResponseMessage problemResponse(const Refusal &refusal, std::uint16_t status)
{
    HttpResponseMessage response{ status, reasonPhrase(status), {}, problemBody(refusal, status) };
    response.headers.push_back({ "Content-Type", "application/problem+json" });
    if (refusal.reason == RefusalReason::Unauthorized) {
        response.headers.push_back({ "WWW-Authenticate", "Bearer" });
    }
    if (refusal.retryAfter > Duration::zero()) {
        // Retry-After has whole seconds; rounded up, so that no caller retries too early.
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(refusal.retryAfter).count();
        response.headers.push_back({ "Retry-After", fmt::format("{}", seconds) });
    }
    return response;
}

std::string reasonPhrase(std::uint16_t status)
{
    return Poco::Net::HTTPResponse::getReasonForStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
}

} // namespace Pimentohollow
