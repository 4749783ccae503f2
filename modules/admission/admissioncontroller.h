#pragma once

#include "admission/admissionsettings.h"
#include "admission/downstreamgate.h"
#include "admission/limits/concurrencylimit.h"
#include "admission/queue/fairqueue.h"
#include "admission/shareestimator.h"
#include "core/refusal.h"
#include "core/requestcontext.h"
#include "core/upstreamrecord.h"

#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace Pimentohollow
{

/** The request holds a slot; send it to the upstream now. */
struct Admitted {
};

/** The request waits; its final decision comes in a later Schedule. */
struct Queued {
};

using SubmitDecision = std::variant<Admitted, Queued, Refusal>;

struct TicketRefusal {
    AdmissionTicket ticket = 0;
    Refusal refusal;
};

/** Decisions on requests that waited. */
struct Schedule {
    /** Hold a slot from now on; send them to the upstream. */
    std::vector<AdmissionTicket> start;
    /** Answer them now. */
    std::vector<TicketRefusal> refuse;
};

/** Result of AdmissionController::submit() and resume(): the decision on this request and on requests that it displaced. */
struct Submission {
    SubmitDecision decision;
    Schedule others;
};

/** How an admitted request ended. */
struct WorkOutcome {
    WorkResult result = WorkResult::Completed;
    /** Time that the upstream spent waiting for its child calls. */
    Duration childTime{};
};

/** What AdmissionController::cancel() found. */
enum class CancelResult {
    Unknown, ///< no such ticket; it was decided and finished before
    Removed, ///< it waited and will not run; no further decision comes
    Running, ///< cancel it at the upstream; the slot is held until finished() is called
};

/**
 * Decides on each request for one upstream at its serving node. A plain state machine: no threads, sockets or clock.
 *
 * A ticket is admitted, refused or cancelled exactly once. An admitted ticket holds a slot until finished() or pause().
 * Call expire() at the time given by nextExpiry(), so that requests that can't finish in time are answered at once.
 * Not thread-safe: one task owns it.
 */
class AdmissionController
{
public:
    explicit AdmissionController(AdmissionSettings settings = {});

    /** Decides on a new request. @param ticket not in use by another request */
    Submission submit(AdmissionTicket ticket, const RequestContext &context, TimePoint now);

    /** Records that the first byte goes to the upstream now, if that is later than the admission. */
    void started(AdmissionTicket ticket, TimePoint now);

    /** Frees the slot of an admitted request. */
    Schedule finished(AdmissionTicket ticket, const WorkOutcome &outcome, TimePoint now);

    /** Withdraws a request whose caller is gone. */
    CancelResult cancel(AdmissionTicket ticket);

    /** Gives up the requests that waited too long and starts others if there is room. */
    Schedule expire(TimePoint now);

    /** When expire() has to be called next; nothing while no request waits. */
    std::optional<TimePoint> nextExpiry() const;

    /** Frees the slot of an admitted request that has not been sent yet, while its claim is committed. */
    Schedule pause(AdmissionTicket ticket, TimePoint now);

    /** Takes a slot again after pause(); waits before all others and is refused only if its deadline can't be met. */
    Submission resume(AdmissionTicket ticket, TimePoint now);

    /** Sets the weight of an account's fair share, for example its rate. */
    void setWeight(const AccountName &account, double weight);

    /** Sets the smallest shares that the services below a route admit; applied to requests from callers only. */
    void setDownstreamShares(const RouteName &route, AdmittedShares shares);

    /** The upstream process was replaced: the limit starts low again. */
    void restart(TimePoint now);

    /** Shares of the requests for this upstream that would be admitted now. */
    AdmittedShares shares(TimePoint now);

    /** Fills the fields of @p record that describe load. */
    void report(UpstreamRecord &record, TimePoint now);

    std::uint32_t limit() const;
    std::uint32_t inFlight() const;
    std::size_t queued() const;

private:
    enum class State {
        Waiting,
        Running,
        Paused,
    };
    struct Request {
        AccountName account;
        RouteName route;
        Priority priority = Priority::Normal;
        TimePoint deadline{};
        State state = State::Waiting;
        /** Whether it was admitted before and waits for its slot after a pause. */
        bool resumed = false;
        TimePoint startedAt{};
        std::uint32_t inFlightAtStart = 0;
    };
    /** Time in the upstream, for one route: moving averages in nanoseconds. */
    struct RouteTime {
        double mean = 0;
        /** Moving average of the distance from the mean. */
        double deviation = 0;
        TimePoint updated{};
    };

    std::optional<RefusalReason> reasonToRefuse(const RequestContext &context, TimePoint now);
    Submission enqueue(AdmissionTicket ticket, const RequestContext &context, TimePoint now);
    void start(Request &request, TimePoint now);
    Schedule schedule(TimePoint now);
    void refuseExpired(Schedule &schedule, TimePoint now);
    void shedImportant(Schedule &schedule, TimePoint now);
    Refusal refusal(RefusalReason reason, Priority priority, TimePoint now);
    void refuseWaiting(AdmissionTicket ticket, RefusalReason reason, Schedule &schedule, TimePoint now);
    bool waitsTooLong(const RequestContext &context, TimePoint now) const;
    bool queueFull(Priority priority) const;
    std::size_t queueCapacity(Duration queueTime) const;
    Duration expectedTime(const RouteName &route, TimePoint now) const;
    void learnTime(const RouteName &route, Duration time, TimePoint now);

    AdmissionSettings m_settings;
    ConcurrencyLimit m_limit;
    FairQueue m_queue;
    DownstreamGate m_gate;
    ShareEstimator m_shares;
    std::unordered_map<AdmissionTicket, Request> m_requests;
    std::unordered_map<RouteName, RouteTime> m_routeTimes;
    std::uint32_t m_inFlight = 0;
    /** No normal request is admitted before this time, because an important one was shed. */
    TimePoint m_normalClosedUntil{};
};

} // namespace Pimentohollow
