#pragma once

#include "core/requestcontext.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

namespace Pimentohollow
{

/** A request that the upstream beside this node is running. */
class InFlightRequest
{
public:
    explicit InFlightRequest(RequestContext context, std::string traceId);

    const RequestContext &context() const;
    const std::string &traceId() const;

    /** Takes all remaining retries for a child call; a parallel child then finds none. */
    std::uint32_t takeRetries();

    /** Gives back the retries that a child call left unspent. */
    void returnRetries(std::uint32_t count);

    /** Notes a child call that ended, so that a slow or refusing deeper service isn't taken for load of this one. */
    void childFinished(Duration took, bool refused);

    Duration childTime() const;
    bool childRefused() const;

private:
    RequestContext m_context;
    std::string m_traceId;
    std::atomic<std::uint32_t> m_retriesLeft;
    std::atomic<Duration::rep> m_childTime{ 0 };
    std::atomic<bool> m_childRefused{ false };
};

/** The requests in flight at the upstream, by the id that was sent along. Thread-safe. */
class InFlightTable
{
public:
    /** Keeps a request in the table while it exists. */
    class Entry
    {
    public:
        Entry(InFlightTable &owner, std::string id, std::shared_ptr<InFlightRequest> request);
        ~Entry();
        Entry(const Entry &) = delete;
        Entry &operator=(const Entry &) = delete;

        InFlightRequest &request();

    private:
        InFlightTable &m_owner;
        std::string m_id;
        std::shared_ptr<InFlightRequest> m_request;
    };

    std::shared_ptr<InFlightRequest> find(const std::string &id) const;

    /** The request with this trace id; nothing if there is none or more than one. */
    std::shared_ptr<InFlightRequest> findByTrace(const std::string &traceId) const;

    /** The earliest deadline of all requests in flight. */
    std::optional<TimePoint> earliestDeadline() const;

    std::size_t count() const;

private:
    mutable std::mutex m_mutex;
    std::unordered_map<std::string, std::shared_ptr<InFlightRequest>> m_requests;
};

/** The trace id of a traceparent value; empty if it isn't one. */
std::string traceIdOf(const std::string *traceparent);

} // namespace Pimentohollow
