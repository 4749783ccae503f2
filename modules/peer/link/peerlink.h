#pragma once

#include "core/cancellation.h"
#include "core/mailbox.h"
#include "peer/channel/messagechannel.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

namespace Pimentohollow
{

/** Why a call over a link has no answer. */
enum class CallFailure {
    NotSent, ///< the serving node can't have received the call
    Interrupted, ///< the link broke after the call was sent; the outcome must be asked for
    TimedOut, ///< the deadline passed; the serving node was told
    Cancelled, ///< the caller is gone; the serving node was told
};

struct LinkTimings {
    /** Silence after which a heartbeat is sent. */
    Duration heartbeatInterval = std::chrono::milliseconds(250);
    /** Intervals without any message after which the link counts as silent and is closed. */
    int silentIntervals = 4;
};

/**
 * The calling side of one connection between nodes: many calls at a time, told apart by their ids.
 * Thread-safe. A link that broke, went silent or was asked to go away takes no new calls.
 */
class PeerLink
{
public:
    PeerLink(std::unique_ptr<MessageChannel> channel, const LinkTimings &timings);
    ~PeerLink();
    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    /** Runs a call and waits for its answer. The call id is assigned here. */
    tl::expected<CallResponse, CallFailure> call(CallRequest request, TimePoint deadline, Cancellation &cancellation);

    /** Asks for the outcome of a call whose link broke. */
    tl::expected<CallResponse, CallFailure> askOutcome(OutcomeRequest request, TimePoint deadline, Cancellation &cancellation);

    /** True while new calls may use this link. */
    bool usable() const;

    std::size_t pendingCalls() const;

    /** The process at the other end. */
    std::uint64_t peerIncarnation() const;

    /** Identifies this link to the serving node. */
    const std::string &nonce() const;

    /** Number of answers dropped because nobody waited for them. */
    std::uint64_t droppedAnswers() const;

private:
    using Reply = tl::expected<CallResponse, CallFailure>;
    using ReplyMailbox = Mailbox<Reply>;

    std::shared_ptr<ReplyMailbox> enlist(std::uint64_t callId);
    void remove(std::uint64_t callId);
    Reply run(std::uint64_t callId, const PeerMessage &message, TimePoint deadline, Cancellation &cancellation);
    void receiveLoop();
    void receive(const PeerMessage &message);
    void deliver(const CallResponse &response);
    void breakLink();

    std::unique_ptr<MessageChannel> m_channel;
    LinkTimings m_timings;
    std::atomic<std::uint64_t> m_nextCallId{ 1 };
    std::atomic<std::uint64_t> m_droppedAnswers{ 0 };
    mutable std::mutex m_mutex;
    std::map<std::uint64_t, std::shared_ptr<ReplyMailbox>> m_pending;
    bool m_goingAway = false;
    bool m_broken = false;
    std::thread m_reader;
};

} // namespace Pimentohollow
