#pragma once

#include "http/server/requesthandler.h"
#include "metrics/metricregistry.h"

#include <functional>

namespace Pimentohollow
{

/** Answers /healthz, /readyz and /metrics on the admin listener. */
class AdminHandler : public RequestHandler
{
public:
    /** @param ready whether callers should be sent here */
    AdminHandler(const MetricRegistry &metrics, std::function<bool()> ready);

    HttpResponseMessage handle(HttpRequestMessage request, Cancellation &cancellation) override;

private:
    const MetricRegistry &m_metrics;
    std::function<bool()> m_ready;
};

} // namespace Pimentohollow
