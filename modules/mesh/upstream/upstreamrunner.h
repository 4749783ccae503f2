#pragma once

#include "async/net/httpconnection.h"
#include "core/random.h"
#include "mesh/decisions/callparentfinder.h"
#include "mesh/decisions/shutdownplan.h"
#include "mesh/decisions/slotqueue.h"
#include "mesh/decisions/upstreamlifecycle.h"
#include "mesh/decisions/upstreamnotices.h"
#include "mesh/messages/meshframes.h"
#include "mesh/model/meshsettings.h"
#include "metrics/metricregistry.h"
#include "poison/crashtracker.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Pimentohollow
{

/**
 * Runs requests at this node's upstream; all requests to the upstream pass through this class. Manages the upstream's announcements, slots
 * and connections, and records the outcomes of its requests.
 */
class UpstreamRunner
{
public:
    using ReplyHandler = std::function<void(RunReply &&)>;

    /** A running request for which the upstream makes nested calls. */
    struct ParentRequest {
        std::uint64_t ticket = 0;
        /** Origin of its nested calls. */
        CallOrigin origin;
    };

    struct Environment {
        EventLoop &loop;
        const MeshSettings &settings;
        const HeaderNames &headers;
        const ShutdownPlan &shutdownPlan;
        CrashTracker &crashes;
        BufferBudget &bufferBudget;
        MetricRegistry &metrics;
        /** Called when the upstream starts or stops accepting requests, when a departure becomes known, and when its limit begins or ends.
         */
        std::function<void()> upstreamChanged;
    };

    explicit UpstreamRunner(Environment environment);

    /** Submits a request and returns its ticket for cancel(). @p done is called once unless the request is cancelled first. */
    std::uint64_t submit(RunFrame frame, ReplyHandler done);
    /** Cancels a request. A waiting request is dropped; a running idempotent request is aborted. */
    void cancel(std::uint64_t ticket);

    /**
     * Applies an announcement of the upstream. Returns false if it is from an upstream of another VM or service, which has to announce
     * itself to its own node, or from a process that another one has replaced and that doesn't leave.
     */
    bool announce(const UpstreamReport &announcement);
    /** Records the departure of a process of the upstream, whether or not it has announced itself. */
    void deregister(const Deregistration &message);
    /** Adds all departures that earlier processes of this node recorded. @param source who has kept them, for the log */
    void recallDepartures(const UpstreamDepartures &departures, std::string_view source);
    /** Records that there probably was no earlier process of this node. */
    void expectNoEarlierProcess()
    {
        m_lifecycle.expectNoEarlierProcess();
    }
    /** Applies what another node keeps of the upstream from the time before this node was restarted. */
    void applyKeptNotice(const NodeName &peer, const UpstreamNotice &notice);
    void forgetPeer(const NodeName &peer)
    {
        m_lifecycle.forgetPeer(peer);
    }

    /** Records that the store's entry of this node has these departures. */
    void setWrittenDepartures(const UpstreamDepartures &departures)
    {
        m_lifecycle.setWritten(departures);
    }
    const UpstreamLifecycle &lifecycle() const
    {
        return m_lifecycle;
    }

    /** Stops accepting requests because the node shuts down. */
    void close();

    LoadReport load() const;
    /** Requests per second that the upstream accepts by its own responses; nothing if it names no limit. */
    std::optional<double> namedLimit() const
    {
        return m_notices.requestsPerSecond();
    }

    /** Refuses waiting requests that can't finish before their deadlines. Must be called regularly. */
    void updateQueue();
    /**
     * Returns the request for which the upstream makes a nested call, and counts the call as open until endCall(). std::nullopt if no
     * running request can be the parent.
     */
    std::optional<ParentRequest> beginCall(const NestedCall &call);
    /** Ends a nested call of this request. */
    void endCall(std::uint64_t parent, bool failed);
    /** Adds the work of a nested call to its parent request. */
    void addCallWork(std::uint64_t parent, const std::vector<ServiceWork> &work);

    std::size_t jobCount() const
    {
        return m_jobs.size();
    }

private:
    struct Job {
        std::uint64_t ticket = 0;
        RunFrame frame;
        TimePoint expiry{};
        TimePoint startedAt{};
        ReplyHandler done;
        /** Work of its nested calls. */
        std::vector<ServiceWork> callWork;
        std::size_t openCalls = 0;
        TimePoint lastCallEndedAt{};
        /** Deadline that was sent to the upstream. */
        TimePoint sentExpiry{};
        /** Time at which the request was sent, and the incarnation to which it was addressed. */
        TimePoint sentAt{};
        std::string incarnation;
        bool callFailed = false;
        bool running = false;
        bool cancelled = false;
        /** Connection on which the request runs; nullptr before and after. */
        HttpConnection *connection = nullptr;
    };
    using JobPointer = std::shared_ptr<Job>;

    /** A connection to the upstream, with what it carried before. */
    struct UpstreamConnection {
        std::unique_ptr<HttpConnection> http;
        /** True if an earlier request was sent on it; a response without a request id may then be a late one. */
        bool used = false;
        /** Requests that were refused on it. The upstream may send such a refusal once more, so they are retried on other connections. */
        std::vector<std::string> refusedRequests;
    };

    struct IdleConnection {
        UpstreamConnection connection;
        TimePoint usableUntil{};
        TimePoint idleSince{};
    };

    bool isAccepting() const;
    /** Applies a change of the lifecycle. */
    void updateLifecycle(const std::function<void()> &change);
    void recordReplacement(const UpstreamReport &previous);
    /** Requests that were sent to the upstream and haven't ended. */
    std::vector<RunningRequest> runningRequests() const;
    void applyState();
    void start(const JobPointer &job);
    void run(const JobPointer &job);
    RunReply exchange(Job &job);
    RunReply exchangeOn(UpstreamConnection &connection, Job &job, bool &reusable, std::optional<Duration> &idleLimit);
    std::string serializeJobRequest(Job &job);
    /** @param mayBeLate true if a response without a request id may belong to an earlier request */
    RunReply classifyResponse(ReceivedResponse &&response, const Job &job, bool mayBeLate, bool &stale);
    /** Records what a response to @p job says about the upstream. */
    void recordNotice(const std::vector<HttpHeader> &headers, const Job &job);
    /** Puts the notice of the current incarnation in force. @param previous the notice before the change */
    void applyNotice(const UpstreamNotice &previous, std::string_view source);
    std::optional<UpstreamConnection> takeIdleConnection(const Job &job);
    /** Returns nothing if the upstream accepts no connection in time. */
    std::optional<UpstreamConnection> openConnection(const Job &job);
    void returnIdleConnection(UpstreamConnection connection, std::optional<Duration> idleLimit);
    /** Id of the caller's request; empty if it has none. */
    std::string requestIdOf(const Job &job) const;
    void finish(const JobPointer &job, RunReply &&result);
    void recordResult(const Job &job, const RunReply &result);
    void refuse(std::uint64_t ticket, RunOutcome outcome);
    void applySchedule(const SlotSchedule &schedule, RunOutcome refusal);
    void probeAfterFailure();
    void probeUntilReachable();

    Environment m_environment;
    std::string m_incarnation;
    UpstreamLifecycle m_lifecycle;
    TimePoint m_coldStartUntil{};
    bool m_closed = false;
    bool m_unreachable = false;
    bool m_probing = false;
    /** True if the upstream rejected a request as meant for another upstream; a new announcement is awaited. */
    bool m_replaced = false;
    UpstreamNotices m_notices;
    SlotQueue m_queue;
    std::uint64_t m_nextTicket = 0;
    std::unordered_map<std::uint64_t, JobPointer> m_jobs;
    CallParentFinder m_parentFinder;
    std::vector<IdleConnection> m_idleConnections;
    double m_averageQuality = 1;
    double m_averageRunSeconds = 0;
    std::uint64_t m_crashCount = 0;
};

} // namespace Pimentohollow
