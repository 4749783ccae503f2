// Time and allocations per decision of the modules admission and retries.
#include "admission/admission.h"
#include "allocationcounter.h"
#include "retries/retries.h"

#include <benchmark/benchmark.h>
#include <string>
#include <vector>

using namespace Pimentohollow;
using namespace std::chrono_literals;

namespace
{

constexpr TimePoint Start(1h);

/** Contexts made in advance, so that only the decision is measured. */
std::vector<RequestContext> contexts(int accounts)
{
    std::vector<RequestContext> all;
    for (int n = 0; n < accounts; ++n) {
        RequestContext it;
        it.account = AccountName("account-" + std::to_string(n));
        it.route = RouteName("route");
        it.priority = n % 10 == 0 ? Priority::Important : Priority::Normal;
        it.deadline = Start + 1000h;
        all.push_back(it);
    }
    return all;
}

void reportAllocations(benchmark::State &state, std::uint64_t before)
{
    state.counters["allocations"] = benchmark::Counter(static_cast<double>(allocationCount() - before), benchmark::Counter::kAvgIterations);
}

/** Admit and finish below the limit. */
void admitAndFinish(benchmark::State &state)
{
    const auto all = contexts(8);
    AdmissionController controller;
    TimePoint now = Start;
    AdmissionTicket ticket = 0;
    const std::uint64_t before = allocationCount();
    while (state.KeepRunning()) {
        now += 100us;
        ++ticket;
        benchmark::DoNotOptimize(controller.submit(ticket, all[ticket % all.size()], now));
        benchmark::DoNotOptimize(controller.finished(ticket, {}, now + 20ms));
    }
    reportAllocations(state, before);
}
BENCHMARK(admitAndFinish);

/** Two arrivals per finished request at a full queue: one is queued or displaces, one is refused in the end. */
void overloaded(benchmark::State &state)
{
    const auto all = contexts(static_cast<int>(state.range(0)));
    AdmissionSettings settings;
    settings.limit = StaticLimitSettings{ 32 };
    AdmissionController controller(settings);
    TimePoint now = Start;
    AdmissionTicket ticket = 0;
    std::vector<AdmissionTicket> running;
    const auto submit = [&] {
        ++ticket;
        if (std::holds_alternative<Admitted>(controller.submit(ticket, all[ticket % all.size()], now).decision)) {
            running.push_back(ticket);
        }
    };
    while (running.size() < 32) {
        submit();
    }
    std::size_t next = 0;
    const std::uint64_t before = allocationCount();
    while (state.KeepRunning()) {
        now += 600us;
        submit();
        submit();
        const Schedule schedule = controller.finished(running[next], {}, now);
        running[next] = schedule.start.front();
        next = (next + 1) % running.size();
    }
    reportAllocations(state, before);
}
BENCHMARK(overloaded)->Arg(8)->Arg(100);

/** The decision at the top of a chain whose deeper service is overloaded. */
void downstreamGate(benchmark::State &state)
{
    const auto all = contexts(static_cast<int>(state.range(0)));
    DownstreamGate gate;
    gate.setShares(RouteName("route"), { 0.1, 1.0 });
    TimePoint now = Start;
    std::size_t n = 0;
    const std::uint64_t before = allocationCount();
    while (state.KeepRunning()) {
        now += 20us;
        const RequestContext &it = all[++n % all.size()];
        benchmark::DoNotOptimize(gate.admit(it.route, it.account, it.priority, now));
    }
    reportAllocations(state, before);
}
BENCHMARK(downstreamGate)->Arg(8)->Arg(100);

void retryDecision(benchmark::State &state)
{
    const auto all = contexts(1);
    RetryRatio ratio;
    const std::uint64_t before = allocationCount();
    while (state.KeepRunning()) {
        RetryBudget budget;
        ratio.recordFirstAttempt();
        const FailedAttempt attempt{ RefusalReason::Overloaded, RunState::NotRun, true, 20ms };
        benchmark::DoNotOptimize(RetryPolicy::decide(all.front(), attempt, Start, budget, ratio));
    }
    reportAllocations(state, before);
}
BENCHMARK(retryDecision);

} // namespace

BENCHMARK_MAIN();
