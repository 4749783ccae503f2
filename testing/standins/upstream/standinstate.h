#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace Pimentohollow::Testing
{

/** Behaviour that tests change over the control URL while the stand-in runs. */
struct StandinBehaviour {
    /** Requests that run at a time; the others wait. */
    int slots = 64;
    /** Requests beyond the slots that may wait; more get 503. */
    int maximumWaiting = 1000;
    std::chrono::microseconds serviceTime{ 0 };
    /** While the process is younger than this, the service time is multiplied by coldFactor. */
    std::chrono::milliseconds coldTime{ 0 };
    int coldFactor = 10;
    /** Answers end after half of the announced body. */
    bool truncate = false;
    /** Requests are taken but never answered. */
    bool silent = false;
    bool shedAll = false;
    /** What /health says, whatever the truth. */
    bool healthy = true;
    std::string announcedState = "ready";
};

/** State of the stand-in, shared by its connection threads. */
class StandinState
{
public:
    StandinBehaviour behaviour() const;
    /** Applies one setting by name; false if it is unknown. */
    bool change(const std::string &name, const std::string &value);

    /** Waits for a slot; false if too many wait already. */
    bool enter();
    void leave();

    /** Notes that a request ran, under the id that the test gave it. */
    void countRun(const std::string &id, const std::string &head);
    void countCancelled();

    int runs(const std::string &id) const;
    /** The head of the latest request with this id, as the upstream saw it. */
    std::string lastHead(const std::string &id) const;
    std::string summary() const;

    std::chrono::microseconds currentServiceTime() const;

private:
    struct Seen {
        int runs = 0;
        std::string head;
    };

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    StandinBehaviour m_behaviour;
    std::chrono::steady_clock::time_point m_start = std::chrono::steady_clock::now();
    int m_running = 0;
    int m_waiting = 0;
    int m_highest = 0;
    std::uint64_t m_total = 0;
    std::uint64_t m_cancelled = 0;
    std::map<std::string, Seen> m_seen;
};

} // namespace Pimentohollow::Testing
