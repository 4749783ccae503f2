#pragma once

#include "async/net/httpconnection.h"
#include "core/random.h"
#include "mesh/decisions/slotqueue.h"
#include "mesh/messages/meshframes.h"
#include "mesh/model/meshsettings.h"
#include "mesh/model/upstreamreport.h"
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
 * Runs requests at the upstream beside this node: the only way to it. Keeps what the upstream says of itself, its slots, its connections,
 * and how its requests end.
 */
class UpstreamRunner
{
public:
    using Done = std::function<void(RunReply &&)>;

    /** A running request that makes calls. */
    struct ParentRun {
        std::uint64_t ticket = 0;
        /** The origin of its calls. */
        CallOrigin origin;
    };

    struct Environment {
        EventLoop &loop;
        const MeshSettings &settings;
        const HeaderNames &headers;
        CrashTracker &crashes;
        BufferBudget &held;
        MetricRegistry &metrics;
        /** Whether the upstream takes requests has changed. */
        std::function<void()> stateChanged;
    };

    explicit UpstreamRunner(Environment environment);

    /** Takes a request; @p done is called once, unless it is cancelled before. Returns the ticket for cancel(). */
    std::uint64_t submit(RunFrame frame, Done done);
    /** The result isn't wanted any more. A request that waits is dropped, an idempotent one that runs is broken off. */
    void cancel(std::uint64_t ticket);

    /** Takes what the upstream says of itself; false if it is older than what is known, or of another service. */
    bool announce(const UpstreamReport &announcement);
    /** The upstream called @p id has said that it leaves; false if another one is known. */
    bool depart(const std::string &id);
    /** An upstream that left before this node was restarted; its late announcements don't count. */
    void setDeparted(const std::string &incarnation);
    /** The incarnation that left; empty if none did. */
    const std::string &departed() const
    {
        return m_departed;
    }

    /** The node ends: nothing new is accepted. */
    void close();

    LoadReport load() const;
    /** Refuses waiting requests that can't finish any more. Call it regularly. */
    void tick();
    /**
     * The request for which the upstream makes a call, found by the deadline: a call expires with the request for which it is made.
     * Nothing if no request runs that could have made it.
     */
    std::optional<ParentRun> parentOfCall(TimePoint expiry) const;
    /** Adds what a call took to the request for which it was made. */
    void addCallWork(std::uint64_t parent, const std::vector<ServiceWork> &work);
    /** A call made for this request got no success. */
    void noteFailedCall(std::uint64_t parent);

    std::size_t active() const
    {
        return m_jobs.size();
    }

private:
    struct Job {
        std::uint64_t ticket = 0;
        RunFrame frame;
        TimePoint expiry{};
        TimePoint startedAt{};
        Done done;
        /** What its calls took. */
        std::vector<ServiceWork> callWork;
        bool callFailed = false;
        bool running = false;
        bool cancelled = false;
        /** The connection in use. */
        HttpConnection *connection = nullptr;
    };
    using JobPointer = std::shared_ptr<Job>;

    struct IdleConnection {
        std::unique_ptr<HttpConnection> connection;
        TimePoint usableUntil{};
        TimePoint idleSince{};
    };

    bool isAccepting() const;
    void applyState();
    void start(const JobPointer &job);
    void run(const JobPointer &job);
    RunReply exchange(Job &job);
    RunReply exchangeOn(HttpConnection &connection, Job &job, bool &reusable, std::optional<Duration> &idleLimit);
    std::string requestBytes(Job &job);
    RunReply judge(ReceivedResponse &&response, const std::string &requestId, bool &stale);
    std::unique_ptr<HttpConnection> takeIdle(bool idempotent);
    void keep(std::unique_ptr<HttpConnection> connection, std::optional<Duration> idleLimit);
    void finish(const JobPointer &job, RunReply &&result);
    void learn(const Job &job, const RunReply &result);
    void refuse(std::uint64_t ticket, RunOutcome outcome);
    void apply(const SlotSchedule &schedule, RunOutcome refusal);
    void examineFailure();
    void watchUnreachable();

    Environment m_environment;
    std::string m_incarnation;
    UpstreamReport m_known;
    TimePoint m_coldUntil{};
    std::string m_departed;
    bool m_announced = false;
    bool m_closed = false;
    bool m_unreachable = false;
    bool m_probing = false;
    /** Not the upstream that was announced; a new announcement is awaited. */
    bool m_replaced = false;
    SlotQueue m_queue;
    std::uint64_t m_nextTicket = 0;
    std::unordered_map<std::uint64_t, JobPointer> m_jobs;
    std::vector<IdleConnection> m_idle;
    double m_quality = 1;
    double m_runSeconds = 0;
    std::uint64_t m_crashes = 0;
};

} // namespace Pimentohollow
