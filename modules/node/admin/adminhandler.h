#pragma once

#include "http/server/requesthandler.h"
#include "metrics/metricregistry.h"

#include <functional>
#include <map>
#include <string>
#include <utility>

namespace Pimentohollow
{

/** Answers /healthz, /readyz, /metrics and the operators' calls on the admin listener. */
class AdminHandler : public RequestHandler
{
public:
    using Call = std::function<HttpResponseMessage(const HttpRequestMessage &)>;

    /** @param ready whether callers should be sent here */
    AdminHandler(const MetricRegistry &metrics, std::function<bool()> ready);

    /** Adds a call; before the listener starts. */
    void add(const std::string &method, const std::string &path, Call call);

    HttpResponseMessage handle(HttpRequestMessage request, Cancellation &cancellation) override;

private:
    const MetricRegistry &m_metrics;
    std::function<bool()> m_ready;
    /** By method and path. */
    std::map<std::pair<std::string, std::string>, Call> m_calls;
};

} // namespace Pimentohollow
