#pragma once

#include "callermodel.h"
#include "eventqueue.h"
#include "fakeupstream.h"
#include "retries/retries.h"

#include <memory>

namespace Pimentohollow
{

/** One run: callers, serving nodes with the decision code under test, and fake upstreams, in simulated time. */
class Simulation
{
public:
    explicit Simulation(const Experiment &experiment);

    Report run();

private:
    enum class CallState {
        Idle,
        OnTheWay,
        WaitsAtNode,
        WaitsInUpstream,
        Working,
        WaitsForChild,
        Answering,
    };
    /** One call of a request at one level of the chain. */
    struct Call {
        CallState state = CallState::Idle;
        std::uint32_t target = 0;
        AdmissionTicket ticket = 0;
        /** Bit set of the targets that were tried. */
        std::uint32_t tried = 0;
        std::uint32_t hopRetries = 0;
        bool childDone = false;
        RefusalReason failure = RefusalReason::Overloaded;
        RunState ran = RunState::NotRun;
        Duration workStarted{};
        Duration ownWork{};
        Duration childSince{};
        Duration childTime{};
    };
    struct Request {
        std::uint32_t generation = 0;
        bool live = false;
        /** Its caller is gone, but the work goes on. */
        bool abandoned = false;
        CallerRequest caller;
        Duration deadline{};
        RetryBudget budget;
        std::uint32_t retries = 0;
        std::uint32_t serial = 0;
        Duration ownWork{};
        std::vector<Call> calls;
    };
    /** A serving node with the upstream beside it. */
    struct Node {
        Node(const AdmissionSettings &settings, const ServiceModel &model)
            : controller(settings)
            , upstream(model)
        {
        }
        AdmissionController controller;
        FakeUpstream upstream;
        RetryRatio ratio;
        Duration nextExpire = Duration::max();
    };

    void handle(const Event &event);
    void arrive(std::size_t account);
    void send(const CallerRequest &caller);
    void deadlinePassed(std::uint32_t index);
    void failed(std::uint32_t index);
    void callerFailed(const CallerRequest &caller);
    void release(std::uint32_t index);
    void withdraw(std::uint32_t index);

    void callNextLevel(std::uint32_t index, std::uint32_t level);
    bool dispatch(std::uint32_t index, std::uint32_t level);
    void callArrives(std::uint32_t index, std::uint32_t level);
    void refuseCall(std::uint32_t index, std::uint32_t level, RefusalReason reason, RunState ran);
    void callRefused(std::uint32_t index, std::uint32_t level);
    bool retries(std::uint32_t index, std::uint32_t level);
    void callAnswered(std::uint32_t index, std::uint32_t level);
    void enterUpstream(std::uint32_t index, std::uint32_t level);
    void work(std::uint32_t index, std::uint32_t level);
    void ownWorkDone(std::uint32_t index, std::uint32_t level);
    void leaveUpstream(std::uint32_t index, std::uint32_t level, WorkResult result);
    void apply(std::uint32_t level, std::uint32_t target, const Schedule &schedule);
    void scheduleExpire(std::uint32_t level, std::uint32_t target);
    void spreadShares();

    Node &node(std::uint32_t level, std::uint32_t target);
    std::optional<std::uint32_t> chooseTarget(std::uint32_t level, std::uint32_t tried);
    RequestContext context(const Request &request, std::uint32_t level) const;
    Duration hop();
    Duration drawOwnTime(std::uint32_t level);
    TimePoint timePoint(Duration at) const;
    void push(EventKind kind, Duration at, std::uint32_t index, std::uint32_t level);
    static std::uint32_t requestOf(AdmissionTicket ticket);
    static std::uint32_t levelOf(AdmissionTicket ticket);

    Experiment m_experiment;
    Random m_random;
    std::vector<ServiceModel> m_services;
    CallerModel m_callers;
    Measures m_measures;
    std::vector<std::vector<std::unique_ptr<Node>>> m_nodes;
    RetryRatio m_entryRatio;
    std::vector<Request> m_requests;
    std::vector<std::uint32_t> m_free;
    std::vector<CallerRequest> m_resends;
    std::vector<AccountName> m_accounts;
    std::vector<AdmittedShares> m_lastShares;
    EventQueue m_events;
    Duration m_now{};
};

} // namespace Pimentohollow
