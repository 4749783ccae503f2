#pragma once

#include "scenario.h"

#include <deque>

namespace Pimentohollow
{

/**
 * Stand-in for an upstream process: a number of slots, a queue inside the process, and refusal when all connections are
 * taken. A request holds its slot while its child call runs.
 */
class FakeUpstream
{
public:
    enum class Entry {
        Runs,
        Waits,
        Refused,
    };

    explicit FakeUpstream(const ServiceModel &model);

    Entry enter(AdmissionTicket ticket);

    /** Frees a slot. @return the waiting request that takes it, or 0 */
    AdmissionTicket leave();

    /** Removes a waiting request whose caller is gone. */
    void removeWaiting(AdmissionTicket ticket);

private:
    ServiceModel m_model;
    std::uint32_t m_running = 0;
    std::deque<AdmissionTicket> m_waiting;
};

} // namespace Pimentohollow
