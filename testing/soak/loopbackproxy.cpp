#include "loopbackproxy.h"

#include <algorithm>
#include <array>

namespace Pimentohollow::Soak
{

namespace
{

using namespace std::chrono_literals;

constexpr Duration ConnectTime = 1s;
constexpr Duration WriteTime = 30s;
constexpr Duration HoldCheckInterval = 10ms;
constexpr std::size_t ReadBytes = std::size_t{ 16 } * 1024;

} // namespace

LoopbackProxy::LoopbackProxy(EventLoop &loop, IpEndpoint target)
    : m_loop(loop)
    , m_target(std::move(target))
    , m_listener(loop, [this](std::unique_ptr<AsyncSocket> socket) {
        auto pair = std::make_shared<Pair>();
        pair->caller = std::move(socket);
        m_loop.spawn([this, pair] {
            while (faults.holdsRequests) {
                m_loop.sleepFor(HoldCheckInterval);
            }
            auto connected = AsyncSocket::connect(m_loop, m_target, m_loop.clock().now() + ConnectTime);
            if (!connected) {
                pair->caller->reset();
                return;
            }
            pair->target = std::move(*connected);
            std::erase_if(m_pairs, [](const auto &it) {
                return it.expired();
            });
            m_pairs.push_back(pair);
            m_loop.spawn([this, pair] {
                relay(pair, false);
            });
            relay(pair, true);
        });
    })
{
}

Result<void> LoopbackProxy::listen(const IpEndpoint &address)
{
    return m_listener.listen(address);
}

void LoopbackProxy::resetAll()
{
    for (const auto &it : m_pairs) {
        if (const auto pair = it.lock()) {
            pair->caller->reset();
            pair->target->reset();
        }
    }
    m_pairs.clear();
}

void LoopbackProxy::relay(const std::shared_ptr<Pair> &pair, bool requests)
{
    AsyncSocket &from = requests ? *pair->caller : *pair->target;
    AsyncSocket &to = requests ? *pair->target : *pair->caller;
    std::array<char, ReadBytes> bytes{};
    while (true) {
        const auto count = from.read(bytes, TimePoint::max());
        if (!count) {
            break;
        }
        if (faults.delay > Duration::zero()) {
            m_loop.sleepFor(faults.delay);
        }
        while (requests ? faults.holdsRequests : faults.holdsAnswers) {
            m_loop.sleepFor(HoldCheckInterval);
        }
        const bool dropped = requests ? faults.dropsRequests : faults.dropsAnswers;
        if (!dropped && !to.writeAll({ bytes.data(), *count }, m_loop.clock().now() + WriteTime)) {
            break;
        }
    }
    if (from.endedOrderly()) {
        to.finishWriting();
    } else {
        to.reset();
    }
}

} // namespace Pimentohollow::Soak
