#include "storage/http/httpobjectstore.h"

#include <fmt/format.h>

namespace Pimentohollow
{

namespace
{

constexpr int StatusOk = 200;
constexpr int StatusNoContent = 204;
constexpr int StatusForbidden = 403;
constexpr int StatusNotFound = 404;
constexpr int FirstServerError = 500;

/** The content of <Code> in an S3 error document. */
std::string errorCode(const std::string &body)
{
    constexpr std::string_view Open = "<Code>";
    const std::size_t first = body.find(Open);
    const std::size_t last = body.find("</Code>");
    if (first == std::string::npos || last == std::string::npos || last < first) {
        return {};
    }
    return body.substr(first + Open.size(), last - first - Open.size());
}

} // namespace

HttpObjectStore::HttpObjectStore(PlatformEndpoint endpoint, std::string bucket, const Clock &clock)
    : m_client(std::move(endpoint), "s3", clock)
    , m_bucket(std::move(bucket))
{
}

Result<std::optional<std::string>> HttpObjectStore::get(const std::string &key)
{
    auto answer = call("object.get", "GET", key, "", CallEffect::Read);
    if (!answer) {
        return tl::make_unexpected(answer.error());
    }
    if (answer->status == StatusOk) {
        return std::optional<std::string>(std::move(answer->body));
    }
    if (answer->status == StatusNotFound && errorCode(answer->body) == "NoSuchKey") {
        return std::optional<std::string>();
    }
    return tl::make_unexpected(answerError("object.get", *answer, CallEffect::Read));
}

Result<void> HttpObjectStore::put(const std::string &key, const std::string &content)
{
    const auto answer = call("object.put", "PUT", key, content, CallEffect::Write);
    if (!answer) {
        return tl::make_unexpected(answer.error());
    }
    if (answer->status != StatusOk) {
        return tl::make_unexpected(answerError("object.put", *answer, CallEffect::Write));
    }
    return {};
}

Result<void> HttpObjectStore::remove(const std::string &key)
{
    const auto answer = call("object.remove", "DELETE", key, "", CallEffect::Write);
    if (!answer) {
        return tl::make_unexpected(answer.error());
    }
    if (answer->status != StatusNoContent && answer->status != StatusOk) {
        return tl::make_unexpected(answerError("object.remove", *answer, CallEffect::Write));
    }
    return {};
}

Result<PlatformAnswer> HttpObjectStore::call(
    const std::string &step, const std::string &method, const std::string &key, const std::string &body, CallEffect effect)
{
    if (key.empty()) {
        return failure(ErrorKind::InvalidInput, step, "an object key must not be empty", m_client.peer());
    }
    PlatformCall request;
    request.step = step;
    request.method = method;
    request.path = RequestSigner::encodePath("/" + m_bucket + "/" + key);
    request.body = body;
    request.effect = effect;
    return m_client.send(request);
}

Error HttpObjectStore::answerError(const std::string &step, const PlatformAnswer &answer, CallEffect effect) const
{
    const std::string code = errorCode(answer.body);
    const std::string message = fmt::format("status {}: {}", answer.status, code);
    ErrorKind kind = ErrorKind::InvalidInput;
    if (code == "SlowDown") {
        kind = ErrorKind::Unavailable;
    } else if (answer.status == StatusForbidden) {
        kind = ErrorKind::Unauthorized;
    } else if (answer.status >= FirstServerError) {
        kind = effect == CallEffect::Write ? ErrorKind::OutcomeUnknown : ErrorKind::Unavailable;
    }
    return { kind, step, m_client.peer(), message };
}

} // namespace Pimentohollow
