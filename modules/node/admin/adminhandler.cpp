#include "node/admin/adminhandler.h"

#include "http/rules/problemresponse.h"

namespace Pimentohollow
{

namespace
{

HttpResponseMessage text(std::uint16_t status, std::string body, std::string type = "text/plain; charset=utf-8")
{
    return { status, reasonPhrase(status), { { "Content-Type", std::move(type) } }, std::move(body) };
}

} // namespace

AdminHandler::AdminHandler(const MetricRegistry &metrics, std::function<bool()> ready)
    : m_metrics(metrics)
    , m_ready(std::move(ready))
{
}

void AdminHandler::add(const std::string &method, const std::string &path, Call call)
{
    m_calls.emplace(std::pair(method, path), std::move(call));
}

HttpResponseMessage AdminHandler::handle(HttpRequestMessage request, Cancellation & /*cancellation*/)
{
    if (const auto it = m_calls.find({ request.method, request.target }); it != m_calls.end()) {
        return it->second(request);
    }
    if (request.method != "GET") {
        return problemResponse({ RefusalReason::NoRoute, RunState::NotRun, {}, "only GET is supported" });
    }
    if (request.target == "/healthz") {
        return text(200, "ok\n");
    }
    if (request.target == "/readyz") {
        return m_ready() ? text(200, "ready\n") : text(503, "not ready\n");
    }
    if (request.target == "/metrics") {
        return text(200, m_metrics.prometheusText(), "text/plain; version=0.0.4; charset=utf-8");
    }
    return problemResponse({ RefusalReason::NoRoute, RunState::NotRun, {}, "unknown path" });
}

} // namespace Pimentohollow
