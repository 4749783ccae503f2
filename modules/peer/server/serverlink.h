#pragma once

#include "peer/channel/messagechannel.h"
#include "peer/server/callhandler.h"
#include "peer/server/callregistry.h"
#include "peer/server/changeshandler.h"
#include "peer/server/workerpool.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace Pimentohollow
{

/** What the links of a PeerServer share. */
struct ServerLinkEnvironment {
    CallHandler &handler;
    CallRegistry &registry;
    WorkerPool &workers;
    /** Stops the link that another node opened with this nonce from starting further calls. */
    std::function<void(const std::string &nonce)> revokeLink;
    std::uint64_t incarnation = 0;
    /** Null if this node shares no configuration. */
    ChangesHandler *changes = nullptr;
};

/** The serving side of one connection between nodes. Kept alive by its running calls. */
class ServerLink : public std::enable_shared_from_this<ServerLink>
{
public:
    ServerLink(std::unique_ptr<MessageChannel> channel, const ServerLinkEnvironment &environment);

    /** Serves until the connection ends. */
    void run();

    /** Starts no call from now on, not even one whose request was already received, and closes the connection. */
    void revoke();

    /** Tells the other side to send no new calls. */
    void goAway();

    void close();

    /** Identifies this link; chosen by the other side. */
    const std::string &nonce() const;

    std::size_t runningCalls() const;

private:
    void receive(const PeerMessage &message);
    void start(const CallRequest &request);
    void runCall(const CallRequest &request, TimePoint deadline, Cancellation &cancellation);
    void finish(const CallRequest &request, CallResponse response);
    void answerOutcome(const OutcomeRequest &question);
    void answerChanges(const ChangesRequest &question);
    void cancel(std::uint64_t callId);

    std::unique_ptr<MessageChannel> m_channel;
    ServerLinkEnvironment m_environment;
    mutable std::mutex m_mutex;
    bool m_revoked = false;
    std::map<std::uint64_t, std::shared_ptr<Cancellation>> m_running;
};

} // namespace Pimentohollow
