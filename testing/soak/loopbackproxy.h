#pragma once

#include "async/async.h"

#include <memory>
#include <vector>

namespace Pimentohollow::Soak
{

/** What goes wrong on the connections of a proxy. */
struct ProxyFaults {
    /** Bytes are passed on so much later. */
    Duration delay{};
    /** Bytes from the side that connected don't arrive. */
    bool dropsRequests = false;
    /** Bytes from the other side don't arrive. */
    bool dropsAnswers = false;
    /** Bytes from the side that connected are held back until this ends, as in a network that is cut; new connections, too. */
    bool holdsRequests = false;
    /** The same for bytes from the other side. */
    bool holdsAnswers = false;
};

/** Relays connections of the loopback interface, with faults. */
class LoopbackProxy
{
public:
    LoopbackProxy(EventLoop &loop, IpEndpoint target);

    Result<void> listen(const IpEndpoint &address);
    /** Resets all connections; new ones are accepted. */
    void resetAll();
    /** Where new connections are relayed to. */
    void setTarget(const IpEndpoint &target)
    {
        m_target = target;
    }

    ProxyFaults faults;

private:
    struct Pair {
        std::unique_ptr<AsyncSocket> caller;
        std::unique_ptr<AsyncSocket> target;
    };

    void relay(const std::shared_ptr<Pair> &pair, bool requests);

    EventLoop &m_loop;
    IpEndpoint m_target;
    AsyncListener m_listener;
    std::vector<std::weak_ptr<Pair>> m_pairs;
};

} // namespace Pimentohollow::Soak
