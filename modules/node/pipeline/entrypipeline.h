#pragma once

#include "http/server/requesthandler.h"
#include "node/interfaces/keysource.h"
#include "node/interfaces/quotaservice.h"
#include "node/interfaces/routesource.h"
#include "node/pipeline/forwarder.h"
#include "node/pipeline/retryaftersource.h"

namespace Pimentohollow
{

/** Header with which a caller shortens the deadline of its route, in milliseconds. */
inline constexpr std::string_view CallerTimeoutHeader = "Pimentohollow-Timeout-Ms";

/** Serves the requests of callers: route, key, removal of the key, forwarding, answer. */
class EntryPipeline : public RequestHandler
{
public:
    EntryPipeline(const Clock &clock,
                  const RouteSource &routes,
                  const KeySource &keys,
                  QuotaService &quota,
                  Forwarder &forwarder,
                  RetryAfterSource &retryAfter,
                  MetricRegistry &metrics);

    HttpResponseMessage handle(HttpRequestMessage request, Cancellation &cancellation) override;

    /** Checks the route, the key and the rate of the account, and removes the key. */
    tl::expected<PreparedRequest, Refusal> prepare(HttpRequestMessage request) const;

    /** The answer to a refusal, with a Retry-After where coming back may help. */
    HttpResponseMessage refuse(Refusal refusal) const;

private:
    tl::expected<AccountName, Refusal> account(const RouteMatch &route, const std::optional<std::string> &key) const;

    const Clock &m_clock;
    const RouteSource &m_routes;
    const KeySource &m_keys;
    QuotaService &m_quota;
    Forwarder &m_forwarder;
    RetryAfterSource &m_retryAfter;
    MetricRegistry &m_metrics;
    Counter &m_requests;
    LatencyHistogram &m_requestTime;
};

/** False for a path with "." or ".." segments, which an upstream may resolve to another route than the one checked here. */
bool isPlainPath(std::string_view path);

/** Removes what belongs to the connection or to this system, so that a caller can't forge it. */
void removeInternalHeaders(HttpHeaders &headers);

} // namespace Pimentohollow
