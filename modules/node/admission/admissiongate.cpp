#include "node/admission/admissiongate.h"

#include <utility>

namespace Pimentohollow
{

AdmissionGate::Slot::Slot(AdmissionGate &owner, AdmissionTicket ticket)
    : m_owner(&owner)
    , m_ticket(ticket)
{
}

AdmissionGate::Slot::Slot(Slot &&other) noexcept
    : m_owner(std::exchange(other.m_owner, nullptr))
    , m_ticket(other.m_ticket)
{
}

AdmissionGate::Slot::~Slot()
{
    finish({ WorkResult::Failed, {} });
}

void AdmissionGate::Slot::started()
{
    const std::lock_guard lock(m_owner->m_mutex);
    m_owner->m_controller.started(m_ticket, m_owner->m_clock.now());
}

void AdmissionGate::Slot::finish(const WorkOutcome &outcome)
{
    if (AdmissionGate *owner = std::exchange(m_owner, nullptr)) {
        const std::lock_guard lock(owner->m_mutex);
        // A paused request holds no place, so it is withdrawn and not counted as work.
        if (owner->m_controller.cancel(m_ticket) == CancelResult::Running) {
            owner->apply(owner->m_controller.finished(m_ticket, outcome, owner->m_clock.now()));
        }
    }
}

void AdmissionGate::Slot::pause()
{
    const std::lock_guard lock(m_owner->m_mutex);
    m_owner->apply(m_owner->m_controller.pause(m_ticket, m_owner->m_clock.now()));
}

tl::expected<void, Refusal> AdmissionGate::Slot::resume(Cancellation &cancellation)
{
    const auto call = [this](TimePoint now) {
        return m_owner->m_controller.resume(m_ticket, now);
    };
    auto admitted = m_owner->submit(m_ticket, call, cancellation);
    if (!admitted) {
        m_owner = nullptr;
    }
    return admitted;
}

AdmissionGate::AdmissionGate(const Clock &clock, AdmissionSettings settings)
    : m_clock(clock)
    , m_controller(std::move(settings))
    , m_expirer([this] {
        expireLoop();
    })
{
}

AdmissionGate::~AdmissionGate()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_expiryChanged.notify_all();
    m_expirer.join();
}

tl::expected<AdmissionGate::Slot, Refusal> AdmissionGate::admit(const RequestContext &context, Cancellation &cancellation)
{
    AdmissionTicket ticket = 0;
    {
        const std::lock_guard lock(m_mutex);
        ticket = m_nextTicket++;
    }
    const auto call = [this, ticket, &context](TimePoint now) {
        return m_controller.submit(ticket, context, now);
    };
    if (auto admitted = submit(ticket, call, cancellation); !admitted) {
        return tl::unexpected(std::move(admitted.error()));
    }
    return Slot(*this, ticket);
}

void AdmissionGate::report(UpstreamRecord &record)
{
    const std::lock_guard lock(m_mutex);
    m_controller.report(record, m_clock.now());
}

void AdmissionGate::restart()
{
    const std::lock_guard lock(m_mutex);
    m_controller.restart(m_clock.now());
}

void AdmissionGate::configure(const std::function<void(AdmissionController &)> &change)
{
    const std::lock_guard lock(m_mutex);
    change(m_controller);
}

tl::expected<void, Refusal>
AdmissionGate::submit(AdmissionTicket ticket, const std::function<Submission(TimePoint)> &call, Cancellation &cancellation)
{
    std::shared_ptr<DecisionMailbox> mailbox;
    {
        const std::lock_guard lock(m_mutex);
        Submission submission = call(m_clock.now());
        apply(submission.others);
        if (std::holds_alternative<Admitted>(submission.decision)) {
            return {};
        }
        if (auto *refusal = std::get_if<Refusal>(&submission.decision)) {
            return tl::unexpected(std::move(*refusal));
        }
        // Holds the decision and a cancellation, whichever comes first.
        mailbox = std::make_shared<DecisionMailbox>(2);
        m_waiting.emplace(ticket, mailbox);
    }
    m_expiryChanged.notify_one();
    return wait(ticket, mailbox, cancellation);
}

tl::expected<void, Refusal>
AdmissionGate::wait(AdmissionTicket ticket, const std::shared_ptr<DecisionMailbox> &mailbox, Cancellation &cancellation)
{
    std::optional<Decision> decision;
    {
        const auto subscription = cancellation.onCancel([&mailbox] {
            mailbox->post(std::nullopt);
        });
        decision = mailbox->take();
    }
    if (cancellation.cancelled()) {
        return withdraw(ticket);
    }
    if (decision && *decision) {
        return tl::unexpected(std::move(**decision));
    }
    return {};
}

tl::expected<void, Refusal> AdmissionGate::withdraw(AdmissionTicket ticket)
{
    const std::lock_guard lock(m_mutex);
    m_waiting.erase(ticket);
    if (m_controller.cancel(ticket) == CancelResult::Running) {
        apply(m_controller.finished(ticket, { WorkResult::Failed, {} }, m_clock.now()));
    }
    return tl::unexpected(Refusal{ RefusalReason::DeadlineExceeded, RunState::NotRun, {}, "the caller is gone" });
}

void AdmissionGate::apply(const Schedule &schedule)
{
    const auto decide = [this](AdmissionTicket ticket, Decision decision) {
        const auto it = m_waiting.find(ticket);
        if (it != m_waiting.end()) {
            it->second->post(std::move(decision));
            m_waiting.erase(it);
        }
    };
    for (const auto ticket : schedule.start) {
        decide(ticket, std::nullopt);
    }
    for (const auto &it : schedule.refuse) {
        decide(it.ticket, it.refusal);
    }
}

void AdmissionGate::expireLoop()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        const auto next = m_controller.nextExpiry();
        if (!next) {
            m_expiryChanged.wait(lock);
        } else if (*next > m_clock.now()) {
            m_expiryChanged.wait_until(lock, *next);
        } else {
            apply(m_controller.expire(m_clock.now()));
        }
    }
}

} // namespace Pimentohollow
