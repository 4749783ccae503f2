#pragma once

#include "admission/admissioncontroller.h"
#include "core/cancellation.h"
#include "core/mailbox.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>
#include <tl/expected.hpp>

namespace Pimentohollow
{

/**
 * Lets threads wait for the decisions of an AdmissionController. Thread-safe.
 *
 * The controller is guarded by a mutex and not owned by a task of its own, because a decision takes microseconds and
 * a task would add two thread switches to every request.
 */
class AdmissionGate
{
public:
    /** A place at the upstream; given back as failed work if finish() isn't called. */
    class Slot
    {
    public:
        Slot(AdmissionGate &owner, AdmissionTicket ticket);
        Slot(Slot &&other) noexcept;
        ~Slot();
        Slot &operator=(Slot &&) = delete;

        /** The first byte goes to the upstream now. */
        void started();

        void finish(const WorkOutcome &outcome);

        /** Gives the place to others while a claim is committed. */
        void pause();

        /** Waits for a place again. After a refusal the slot is gone. */
        tl::expected<void, Refusal> resume(Cancellation &cancellation);

    private:
        AdmissionGate *m_owner;
        AdmissionTicket m_ticket;
    };

    AdmissionGate(const Clock &clock, AdmissionSettings settings);
    ~AdmissionGate();
    AdmissionGate(const AdmissionGate &) = delete;
    AdmissionGate &operator=(const AdmissionGate &) = delete;

    /** Waits for a place, or for the refusal. */
    tl::expected<Slot, Refusal> admit(const RequestContext &context, Cancellation &cancellation);

    /** Fills the fields of @p record that describe load. */
    void report(UpstreamRecord &record);

    /** The upstream process was replaced. */
    void restart();

    /** Applies a change to the controller, such as new weights. */
    void configure(const std::function<void(AdmissionController &)> &change);

private:
    /** Nothing stands for "start". */
    using Decision = std::optional<Refusal>;
    using DecisionMailbox = Mailbox<Decision>;

    tl::expected<void, Refusal> wait(AdmissionTicket ticket, const std::shared_ptr<DecisionMailbox> &mailbox, Cancellation &cancellation);
    tl::expected<void, Refusal>
    submit(AdmissionTicket ticket, const std::function<Submission(TimePoint)> &call, Cancellation &cancellation);
    tl::expected<void, Refusal> withdraw(AdmissionTicket ticket);
    void apply(const Schedule &schedule);
    void expireLoop();

    const Clock &m_clock;
    std::mutex m_mutex;
    AdmissionController m_controller;
    AdmissionTicket m_nextTicket = 1;
    std::unordered_map<AdmissionTicket, std::shared_ptr<DecisionMailbox>> m_waiting;
    std::condition_variable m_expiryChanged;
    bool m_stopping = false;
    std::thread m_expirer;
};

} // namespace Pimentohollow
