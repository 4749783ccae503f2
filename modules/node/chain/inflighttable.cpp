#include "node/chain/inflighttable.h"

#include <algorithm>

namespace Pimentohollow
{

InFlightRequest::InFlightRequest(RequestContext context, std::string traceId)
    : m_context(std::move(context))
    , m_traceId(std::move(traceId))
    , m_retriesLeft(m_context.retriesLeft)
{
}

const RequestContext &InFlightRequest::context() const
{
    return m_context;
}

const std::string &InFlightRequest::traceId() const
{
    return m_traceId;
}

std::uint32_t InFlightRequest::takeRetries()
{
    return m_retriesLeft.exchange(0);
}

void InFlightRequest::returnRetries(std::uint32_t count)
{
    m_retriesLeft += count;
}

void InFlightRequest::childFinished(Duration took, bool refused)
{
    m_childTime += took.count();
    if (refused) {
        m_childRefused = true;
    }
}

Duration InFlightRequest::childTime() const
{
    return Duration(m_childTime.load());
}

bool InFlightRequest::childRefused() const
{
    return m_childRefused;
}

InFlightTable::Entry::Entry(InFlightTable &owner, std::string id, std::shared_ptr<InFlightRequest> request)
    : m_owner(owner)
    , m_id(std::move(id))
    , m_request(std::move(request))
{
    const std::lock_guard lock(m_owner.m_mutex);
    m_owner.m_requests.emplace(m_id, m_request);
}

InFlightTable::Entry::~Entry()
{
    const std::lock_guard lock(m_owner.m_mutex);
    m_owner.m_requests.erase(m_id);
}

InFlightRequest &InFlightTable::Entry::request()
{
    return *m_request;
}

std::shared_ptr<InFlightRequest> InFlightTable::find(const std::string &id) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_requests.find(id);
    return it == m_requests.end() ? nullptr : it->second;
}

std::shared_ptr<InFlightRequest> InFlightTable::findByTrace(const std::string &traceId) const
{
    if (traceId.empty()) {
        return nullptr;
    }
    const std::lock_guard lock(m_mutex);
    std::shared_ptr<InFlightRequest> found;
    for (const auto &[id, request] : m_requests) {
        if (request->traceId() != traceId) {
            continue;
        }
        if (found) {
            return nullptr; // two requests share the trace, and a guess could pick the wrong account
        }
        found = request;
    }
    return found;
}

std::optional<TimePoint> InFlightTable::earliestDeadline() const
{
    const std::lock_guard lock(m_mutex);
    std::optional<TimePoint> earliest;
    for (const auto &[id, request] : m_requests) {
        earliest = std::min(earliest.value_or(TimePoint::max()), request->context().deadline);
    }
    return earliest;
}

std::size_t InFlightTable::count() const
{
    const std::lock_guard lock(m_mutex);
    return m_requests.size();
}

std::string traceIdOf(const std::string *traceparent)
{
    // version "-" trace-id "-" parent-id "-" flags, see W3C Trace Context.
    constexpr std::size_t TraceIdStart = 3;
    constexpr std::size_t TraceIdChars = 32;
    if (traceparent == nullptr || traceparent->size() < TraceIdStart + TraceIdChars + 1 || (*traceparent)[2] != '-'
        || (*traceparent)[TraceIdStart + TraceIdChars] != '-') {
        return {};
    }
    return traceparent->substr(TraceIdStart, TraceIdChars);
}

} // namespace Pimentohollow
