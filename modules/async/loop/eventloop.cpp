#include "async/loop/eventloop.h"

#include "async/loop/waitpoint.h"
#include "core/logger.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <sys/epoll.h>
#include <unistd.h>
#include <utility>

namespace Pimentohollow
{

namespace
{

/** Bytes of a fiber's stack; only touched pages take memory. Signal handlers of the environment run on it, too. */
constexpr std::size_t StackBytes = std::size_t{ 256 } * 1024;
/** Events taken from the kernel in one call. */
constexpr std::size_t EventsPerRound = 128;
/** Longest wait for events, so that a signal that arrives just before the wait is noticed. */
constexpr std::chrono::milliseconds LongestWait(100);
const Logger Log("async");

} // namespace

struct EventLoop::Fiber {
    std::function<void()> body;
    boost::context::fiber own;
    boost::context::fiber caller;
};

struct EventLoop::Registration {
    EventHandler *handler = nullptr;
};

EventLoop::EventLoop(const Clock &clock)
    : m_clock(clock)
    , m_epoll(epoll_create1(EPOLL_CLOEXEC))
    , m_now(clock.now())
    , m_stacks(StackBytes)
{
}

EventLoop::~EventLoop()
{
    // Callbacks may hold the last reference to a socket, which takes itself out of the registrations.
    while (!m_posted.empty() || !m_timers.empty()) {
        std::exchange(m_posted, {});
        std::exchange(m_timers, {});
    }
    ::close(m_epoll);
}

void EventLoop::run()
{
    while (!m_stopped) {
        m_now = m_clock.now();
        fireTimers();
        runReady();
        if (!m_stopped) {
            waitForEvents();
        }
        m_retired.clear();
    }
}

void EventLoop::stop()
{
    m_stopped = true;
}

void EventLoop::spawn(std::function<void()> body)
{
    auto *fiber = new Fiber{ std::move(body), {}, {} }; // NOLINT(cppcoreguidelines-owning-memory) deleted in resume()
    fiber->own = boost::context::fiber(std::allocator_arg, m_stacks, [fiber](boost::context::fiber &&caller) {
        fiber->caller = std::move(caller);
        try {
            fiber->body();
        } catch (const std::exception &exception) {
            Log.error("fiber_failed", { { "error", exception.what() } });
        }
        fiber->body = nullptr;
        return std::move(fiber->caller);
    });
    ++m_fibers;
    m_ready.push_back(fiber);
}

void EventLoop::post(std::function<void()> callback)
{
    m_posted.push_back(std::move(callback));
}

TimerId EventLoop::schedule(TimePoint due, std::function<void()> callback)
{
    const TimerId timer{ due, ++m_nextTimer };
    m_timers.emplace(timer, std::move(callback));
    return timer;
}

void EventLoop::cancel(const TimerId &timer)
{
    m_timers.erase(timer);
}

void EventLoop::sleepUntil(TimePoint due)
{
    WaitPoint point(*this);
    point.wait(due);
}

void EventLoop::sleepFor(Duration duration)
{
    sleepUntil(m_clock.now() + duration);
}

bool EventLoop::watch(int fd, EventHandler &handler)
{
    auto registration = std::make_unique<Registration>();
    registration->handler = &handler;
    epoll_event event{};
    event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
    event.data.ptr = registration.get();
    if (epoll_ctl(m_epoll, EPOLL_CTL_ADD, fd, &event) != 0) {
        return false;
    }
    m_registrations[fd] = std::move(registration);
    return true;
}

void EventLoop::unwatch(int fd, EventHandler &handler)
{
    const auto found = m_registrations.find(fd);
    if (found == m_registrations.end() || found->second->handler != &handler) {
        return;
    }
    found->second->handler = nullptr;
    m_retired.push_back(std::move(found->second));
    m_registrations.erase(found);
}

void EventLoop::suspend()
{
    Fiber &fiber = *m_current;
    fiber.caller = std::move(fiber.caller).resume();
}

void EventLoop::makeReady(Fiber &fiber)
{
    m_ready.push_back(&fiber);
}

void EventLoop::resume(Fiber &fiber)
{
    Fiber *previous = std::exchange(m_current, &fiber);
    fiber.own = std::move(fiber.own).resume();
    m_current = previous;
    if (!fiber.own) {
        --m_fibers;
        delete &fiber; // NOLINT(cppcoreguidelines-owning-memory) created in spawn()
    }
}

void EventLoop::runReady()
{
    while (!m_ready.empty() || !m_posted.empty()) {
        for (auto *it : std::exchange(m_ready, {})) {
            resume(*it);
        }
        if (!m_ready.empty()) {
            continue;
        }
        for (const auto &it : std::exchange(m_posted, {})) {
            it();
        }
    }
}

void EventLoop::fireTimers()
{
    while (!m_timers.empty() && m_timers.begin()->first.due <= m_now) {
        const auto callback = std::move(m_timers.begin()->second);
        m_timers.erase(m_timers.begin());
        callback();
    }
}

void EventLoop::waitForEvents()
{
    auto wait = LongestWait;
    if (!m_timers.empty()) {
        const auto untilTimer = std::chrono::ceil<std::chrono::milliseconds>(m_timers.begin()->first.due - m_clock.now());
        wait = std::clamp(untilTimer, std::chrono::milliseconds(0), LongestWait);
    }
    std::array<epoll_event, EventsPerRound> events; // NOLINT(cppcoreguidelines-pro-type-member-init) written by the kernel
    const int count = epoll_wait(m_epoll, events.data(), static_cast<int>(events.size()), static_cast<int>(wait.count()));
    m_now = m_clock.now();
    for (int n = 0; n < count; ++n) {
        auto *registration = static_cast<Registration *>(events[static_cast<std::size_t>(n)].data.ptr);
        if (registration->handler != nullptr) {
            registration->handler->handleEvents(events[static_cast<std::size_t>(n)].events);
        }
    }
}

} // namespace Pimentohollow
