#include "admission/admission.h"
#include "core/manualclock.h"
#include "core/random.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>
#include <set>

using namespace Pimentohollow;
using namespace std::chrono_literals;

namespace
{

RequestContext context(int account, Priority priority, TimePoint deadline)
{
    RequestContext it;
    it.account = AccountName("account" + std::to_string(account));
    it.service = ServiceName("orders");
    it.route = RouteName("place");
    it.priority = priority;
    it.deadline = deadline;
    return it;
}

/** Drives a controller with random events and checks each decision against a plain record of the tickets. */
class Driver
{
public:
    explicit Driver(std::uint64_t seed, AdmissionSettings settings)
        : m_random(seed)
        , m_controller(std::move(settings))
    {
    }

    void step()
    {
        m_clock.advance(std::chrono::microseconds(m_random.below(3000)));
        switch (m_random.below(8)) {
        case 0:
        case 1:
        case 2:
            submit();
            break;
        case 3:
        case 4:
            finishOne();
            break;
        case 5:
            cancelOne();
            break;
        case 6:
            apply(m_controller.expire(m_clock.now()));
            break;
        default:
            pauseOrResume();
        }
        RC_ASSERT(m_controller.inFlight() == m_running.size());
        RC_ASSERT(m_controller.queued() == m_waiting.size());
    }

    /** Finishes everything and checks that no ticket is left without a decision. */
    void drain()
    {
        while (!m_running.empty() || !m_waiting.empty() || !m_paused.empty()) {
            m_clock.advance(1ms);
            finishOne();
            apply(m_controller.expire(m_clock.now()));
            pauseOrResume();
        }
        for (const auto &[ticket, decisions] : m_decisions) {
            RC_ASSERT(decisions == 1);
        }
    }

private:
    void submit()
    {
        const AdmissionTicket ticket = m_next++;
        const auto priority = m_random.below(3) == 0 ? Priority::Important : Priority::Normal;
        const auto deadline = m_clock.now() + std::chrono::microseconds(m_random.below(60000));
        m_priorities[ticket] = priority;
        m_decisions[ticket] = 0;
        const Submission submission =
            m_controller.submit(ticket, context(static_cast<int>(m_random.below(4)), priority, deadline), m_clock.now());
        apply(submission.others);
        decide(ticket, submission.decision);
    }

    void decide(AdmissionTicket ticket, const SubmitDecision &decision)
    {
        if (std::holds_alternative<Queued>(decision)) {
            m_waiting.insert(ticket);
        } else if (std::holds_alternative<Admitted>(decision)) {
            admit(ticket);
        } else {
            refuse(ticket, std::get<Refusal>(decision));
        }
    }

    void admit(AdmissionTicket ticket)
    {
        m_decisions[ticket] += m_resumed.contains(ticket) ? 0 : 1;
        m_running.insert(ticket);
        RC_ASSERT(m_running.size() <= m_controller.limit());
    }

    void refuse(AdmissionTicket ticket, const Refusal &refusal)
    {
        m_decisions[ticket] += m_resumed.contains(ticket) ? 0 : 1;
        RC_ASSERT(refusal.ran == RunState::NotRun);
        // A request that can't meet its own deadline is refused whatever waits; only shedding follows priority.
        if (m_priorities[ticket] == Priority::Important && refusal.reason == RefusalReason::Overloaded) {
            for (const AdmissionTicket it : m_waiting) {
                RC_ASSERT(m_priorities[it] == Priority::Important || m_resumed.contains(it));
            }
        }
    }

    void apply(const Schedule &schedule)
    {
        for (const auto &it : schedule.refuse) {
            RC_ASSERT(m_waiting.erase(it.ticket) == 1U);
        }
        for (const AdmissionTicket it : schedule.start) {
            RC_ASSERT(m_waiting.erase(it) == 1U);
            admit(it);
        }
        for (const auto &it : schedule.refuse) {
            refuse(it.ticket, it.refusal);
        }
    }

    template <typename Set>
    std::optional<AdmissionTicket> pick(const Set &tickets)
    {
        if (tickets.empty()) {
            return std::nullopt;
        }
        return *std::next(tickets.begin(), static_cast<std::ptrdiff_t>(m_random.below(tickets.size())));
    }

    void finishOne()
    {
        const auto ticket = pick(m_running);
        if (!ticket) {
            return;
        }
        m_running.erase(*ticket);
        apply(m_controller.finished(*ticket, { static_cast<WorkResult>(m_random.below(4)), {} }, m_clock.now()));
    }

    void cancelOne()
    {
        const auto waiting = pick(m_waiting);
        if (waiting) {
            RC_ASSERT(m_controller.cancel(*waiting) == CancelResult::Removed);
            RC_ASSERT(m_controller.cancel(*waiting) == CancelResult::Unknown);
            m_waiting.erase(*waiting);
            m_decisions[*waiting] += m_resumed.contains(*waiting) ? 0 : 1;
        } else if (const auto running = pick(m_running)) {
            RC_ASSERT(m_controller.cancel(*running) == CancelResult::Running);
        }
    }

    void pauseOrResume()
    {
        if (const auto paused = pick(m_paused)) {
            m_paused.erase(*paused);
            m_resumed.insert(*paused);
            const Submission submission = m_controller.resume(*paused, m_clock.now());
            apply(submission.others);
            decide(*paused, submission.decision);
        } else if (const auto running = pick(m_running); running && !m_resumed.contains(*running)) {
            m_running.erase(*running);
            m_paused.insert(*running);
            apply(m_controller.pause(*running, m_clock.now()));
        }
    }

    ManualClock m_clock;
    Random m_random;
    AdmissionController m_controller;
    AdmissionTicket m_next = 1;
    std::map<AdmissionTicket, Priority> m_priorities;
    std::map<AdmissionTicket, int> m_decisions;
    std::set<AdmissionTicket> m_waiting;
    std::set<AdmissionTicket> m_running;
    std::set<AdmissionTicket> m_paused;
    /** Tickets that were paused once; their decision counts once. */
    std::set<AdmissionTicket> m_resumed;
};

AdmissionSettings settingsFor(LimitSettings limit)
{
    AdmissionSettings settings;
    settings.limit = limit;
    settings.shortestQueue = 6;
    settings.longestQueue = 12;
    settings.queueTime = 10ms;
    settings.importantQueueTime = 15ms;
    settings.longestWait = 20ms;
    return settings;
}

std::vector<LimitSettings> smallLimits()
{
    AimdLimitSettings aimd;
    aimd.initial = 4;
    GradientLimitSettings gradient;
    gradient.initial = 4;
    gradient.smallestWindow = 5;
    return { StaticLimitSettings{ 3 }, aimd, gradient };
}

} // namespace

// Guards against tickets that are decided twice or never, slots above the limit, and important requests shed before normal ones.
RC_GTEST_PROP(AdmissionControllerTest, DecidesEachTicketOnceWithinTheLimit, (std::uint64_t seed))
{
    for (const auto &limit : smallLimits()) {
        Driver driver(seed, settingsFor(limit));
        for (int n = 0; n < 300; ++n) {
            driver.step();
        }
        driver.drain();
    }
}

// Guards against an account that gets more than its fair share by sending more, and against a queue that forgets who was served.
RC_GTEST_PROP(AdmissionControllerTest, SharesAreFairWithinOneRequest, (std::uint64_t seed))
{
    Random random(seed);
    ManualClock clock;
    AdmissionController controller(settingsFor(StaticLimitSettings{ 1 }));
    constexpr int Accounts = 3;
    std::map<AdmissionTicket, int> accountOf;
    std::array<int, Accounts> started{};
    AdmissionTicket next = 1;
    const auto submit = [&](int account) {
        accountOf[next] = account;
        const auto submission = controller.submit(next, context(account, Priority::Normal, clock.now() + 1h), clock.now());
        const bool running = std::holds_alternative<Admitted>(submission.decision);
        return running ? next++ : (++next, AdmissionTicket{ 0 });
    };
    AdmissionTicket running = submit(0);
    for (int n = 0; n < 100; ++n) {
        // Account 0 sends ten times as much; the others always have one request waiting.
        for (int burst = 0; burst < 10; ++burst) {
            submit(0);
        }
        for (int account = 1; account < Accounts; ++account) {
            submit(account);
        }
        clock.advance(std::chrono::microseconds(100 + random.below(900)));
        const Schedule schedule = controller.finished(running, {}, clock.now());
        RC_ASSERT(schedule.start.size() == 1U);
        running = schedule.start.front();
        ++started[static_cast<std::size_t>(accountOf[running])];
        const auto [least, most] = std::minmax_element(started.begin(), started.end());
        RC_ASSERT(*most - *least <= 1);
    }
}

// Guards against displacing a request of an account that sends little, and against refusing an important one instead.
TEST(AdmissionControllerTest, DisplacesFromTheAccountWithTheMostQueued)
{
    const ManualClock clock;
    AdmissionController controller(settingsFor(StaticLimitSettings{ 1 }));
    const auto submit = [&](AdmissionTicket ticket, int account, Priority priority) {
        return controller.submit(ticket, context(account, priority, clock.now() + 1h), clock.now());
    };
    submit(1, 0, Priority::Normal);
    submit(2, 1, Priority::Normal);
    for (AdmissionTicket ticket = 3; ticket <= 7; ++ticket) {
        submit(ticket, 0, Priority::Normal);
    }
    const Submission important = submit(8, 2, Priority::Important);
    EXPECT_TRUE(std::holds_alternative<Queued>(important.decision));
    ASSERT_EQ(important.others.refuse.size(), 1U);
    EXPECT_EQ(important.others.refuse.front().ticket, 7U);
    EXPECT_EQ(important.others.refuse.front().refusal.reason, RefusalReason::Overloaded);
    EXPECT_EQ(controller.finished(1, {}, clock.now()).start, std::vector<AdmissionTicket>{ 8 });
}

// Guards against starting work that can't finish in time and against holding back its answer.
TEST(AdmissionControllerTest, RefusesWhatCannotFinishInTime)
{
    ManualClock clock;
    AdmissionController controller(settingsFor(StaticLimitSettings{ 1 }));
    controller.submit(1, context(0, Priority::Normal, clock.now() + 1h), clock.now());
    clock.advance(100ms);
    controller.finished(1, {}, clock.now());
    const Submission late = controller.submit(2, context(0, Priority::Important, clock.now() + 90ms), clock.now());
    ASSERT_TRUE(std::holds_alternative<Refusal>(late.decision));
    EXPECT_EQ(std::get<Refusal>(late.decision).reason, RefusalReason::DeadlineExceeded);

    controller.submit(3, context(0, Priority::Important, clock.now() + 1h), clock.now());
    controller.submit(4, context(0, Priority::Important, clock.now() + 120ms), clock.now());
    ASSERT_TRUE(controller.nextExpiry());
    EXPECT_EQ(*controller.nextExpiry(), clock.now() + 20ms);
    clock.advance(20ms);
    EXPECT_EQ(controller.expire(clock.now()).refuse.size(), 1U);
}

// Guards against work in the upper services for requests that a deeper service refuses, and against thinning child calls twice.
TEST(AdmissionControllerTest, AppliesDownstreamSharesAtTheTopOnly)
{
    ManualClock clock;
    AdmissionController controller(settingsFor(UnlimitedLimitSettings{}));
    controller.setDownstreamShares(RouteName("place"), { 0.25, 1.0 });
    std::map<int, int> admitted;
    AdmissionTicket last = 0;
    for (int n = 0; n < 2000; ++n) {
        clock.advance(1ms);
        for (int account = 0; account < 2; ++account) {
            // Account 1 sends four times as much as account 0.
            for (int copies = 0; copies < (account == 0 ? 1 : 4); ++copies) {
                const AdmissionTicket ticket = ++last;
                auto request = context(account, Priority::Normal, clock.now() + 1h);
                admitted[account] += std::holds_alternative<Admitted>(controller.submit(ticket, request, clock.now()).decision) ? 1 : 0;
            }
        }
    }
    // A quarter of 5 per step, divided in two equal shares of 0.625.
    EXPECT_NEAR(admitted[0], 1250, 125);
    EXPECT_NEAR(admitted[1], 1250, 125);
    auto child = context(0, Priority::Normal, clock.now() + 1h);
    child.depth = 1;
    EXPECT_TRUE(std::holds_alternative<Admitted>(controller.submit(++last, child, clock.now()).decision));
    const auto important = context(0, Priority::Important, clock.now() + 1h);
    EXPECT_TRUE(std::holds_alternative<Admitted>(controller.submit(++last, important, clock.now()).decision));
}
