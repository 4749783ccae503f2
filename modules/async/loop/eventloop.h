#pragma once

#include "core/clock.h"

#include <boost/context/fiber.hpp>
#include <boost/context/pooled_fixedsize_stack.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace Pimentohollow
{

class WaitPoint;

/** Gets the events of one file descriptor. */
class EventHandler
{
public:
    virtual ~EventHandler() = default;

    /** @param events bits of epoll_event */
    virtual void handleEvents(std::uint32_t events) = 0;
};

/** Names a timer until it fires or is cancelled. */
struct TimerId {
    TimePoint due{};
    std::uint64_t sequence = 0;

    // clang-tidy 14 takes the literal 0 of the rewritten comparison for a pointer. NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const TimerId &) const = default;
};

/**
 * Runs fibers, timers and socket events on one thread.
 *
 * Fibers give the code of a connection its straight-line form without a thread for each: a node has 0.4 of a core and a wake-up of a
 * thread costs more than a switch of fibers. All objects of the loop belong to its thread.
 */
class EventLoop
{
public:
    explicit EventLoop(const Clock &clock);
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /** Runs until stop(). */
    void run();
    void stop();

    /** Time at the start of this round of events; cheaper than the clock. */
    TimePoint now() const
    {
        return m_now;
    }

    const Clock &clock() const
    {
        return m_clock;
    }

    /** Starts a fiber in this round of events. An exception that leaves @p body is logged and ends the fiber only. */
    void spawn(std::function<void()> body);
    /** Calls @p callback after the events of this round, outside of any fiber. */
    void post(std::function<void()> callback);
    TimerId schedule(TimePoint due, std::function<void()> callback);
    void cancel(const TimerId &timer);
    /** Suspends the current fiber until @p due. */
    void sleepUntil(TimePoint due);
    void sleepFor(Duration duration);

    /** Registers @p fd for edge-triggered events; false with errno set if the kernel refuses. */
    bool watch(int fd, EventHandler &handler);
    /** Must be called before @p fd is closed and before its handler is destroyed. */
    void unwatch(int fd, EventHandler &handler);

    /** Number of fibers that have not ended. */
    std::size_t fibers() const
    {
        return m_fibers;
    }

private:
    friend class WaitPoint;
    struct Fiber;
    struct Registration;

    Fiber *current() const
    {
        return m_current;
    }
    void suspend();
    void makeReady(Fiber &fiber);
    void resume(Fiber &fiber);
    void runReady();
    void fireTimers();
    void waitForEvents();

    const Clock &m_clock;
    int m_epoll = -1;
    bool m_stopped = false;
    TimePoint m_now{};
    std::uint64_t m_nextTimer = 0;
    std::size_t m_fibers = 0;
    Fiber *m_current = nullptr;
    boost::context::pooled_fixedsize_stack m_stacks;
    std::map<TimerId, std::function<void()>> m_timers;
    std::vector<Fiber *> m_ready;
    std::vector<std::function<void()>> m_posted;
    std::map<int, std::unique_ptr<Registration>> m_registrations;
    /** Kept until the end of the round, because the kernel's list of events may still point to them. */
    std::vector<std::unique_ptr<Registration>> m_retired;
};

} // namespace Pimentohollow
