#pragma once

#include "core/core.h"
#include "membership/membership.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <utility>
#include <vector>

namespace Pimentohollow
{

/**
 * Membership state machines of many nodes over an in-process network with delay, loss and partitions, for tests and
 * benchmarks. Everything follows from the seed.
 */
class SimulatedFleet
{
public:
    struct Node {
        std::unique_ptr<Random> random;
        std::unique_ptr<Membership> membership;
        std::unique_ptr<DatagramCodec> codec;
        GossipEndpoint endpoint;
        TimePoint nextTick{};
        bool running = true;
        bool paused = false;
        /** Datagrams that wait in the socket buffer of a paused process. */
        std::deque<std::pair<GossipEndpoint, std::string>> buffered;
        std::uint64_t bytesSent = 0;
        std::uint64_t datagramsSent = 0;
        std::vector<MembershipEvent> events;
    };

    static constexpr Duration TickInterval = std::chrono::milliseconds(100);

    SimulatedFleet(std::uint64_t seed, std::size_t dataCentres, std::size_t nodesEach)
        : m_random(seed)
        , m_dataCentres(dataCentres)
        , m_nodesEach(nodesEach)
    {
        for (std::size_t n = 0; n < dataCentres * nodesEach; ++n) {
            start(n, 1000);
        }
    }

    /** Starts the process of node @p n, also in place of one that was stopped. */
    void start(std::size_t n, std::uint64_t incarnation)
    {
        Node node;
        node.random = std::make_unique<Random>(m_random.engine()());
        node.endpoint = endpointOf(n);
        MembershipSettings settings{ name(n), dataCentre(n / m_nodesEach), { node.endpoint.host, node.endpoint.port, 1 }, incarnation, {},
                                     {} };
        for (std::size_t dc = 0; dc < m_dataCentres; ++dc) {
            settings.seeds.push_back(endpointOf(dc * m_nodesEach + (n == dc * m_nodesEach ? 1 : 0)));
        }
        node.membership = std::make_unique<Membership>(settings, clock, *node.random);
        node.codec = std::make_unique<DatagramCodec>(settings.node, incarnation, MessageAuthenticator("fleet secret"));
        node.nextTick = clock.now() + Duration(m_random.below(static_cast<std::uint64_t>(TickInterval.count())));
        m_nodeOf[node.endpoint] = n;
        if (n >= nodes.size()) {
            nodes.resize(n + 1);
        }
        nodes[n] = std::move(node);
    }

    static NodeName name(std::size_t n)
    {
        return NodeName("node-" + std::to_string(n));
    }

    static DataCentreName dataCentre(std::size_t n)
    {
        return DataCentreName("dc-" + std::to_string(n));
    }

    std::size_t dataCentreOf(std::size_t n) const
    {
        return n / m_nodesEach;
    }

    /** Lets the fleet run for @p time, or until @p done holds; returns the time that passed. */
    Duration run(Duration time, const std::function<bool()> &done = {})
    {
        const auto begin = clock.now();
        while (clock.now() - begin < time && !(done && done())) {
            step();
        }
        return clock.now() - begin;
    }

    bool all(const std::function<bool(const Node &)> &predicate) const
    {
        for (const auto &it : nodes) {
            if (it.running && !it.paused && !predicate(it)) {
                return false;
            }
        }
        return true;
    }

    /** Delivers what waited while the process was paused, then lets it go on. */
    void resume(std::size_t n)
    {
        auto &node = nodes[n];
        node.paused = false;
        node.membership->tick();
        for (const auto &[from, datagram] : std::exchange(node.buffered, {})) {
            deliver(node, from, datagram);
        }
        flush(node);
    }

    /** Sends the messages of a node and collects its events. */
    void flush(Node &node)
    {
        for (auto &it : node.membership->takeMessages()) {
            const auto datagram = node.codec->encode(it.message);
            if (!datagram) {
                ++oversized;
                continue;
            }
            node.bytesSent += datagram->size();
            ++node.datagramsSent;
            transmit(node, it.to, *datagram);
        }
        for (auto &it : node.membership->takeEvents()) {
            if (const auto *left = std::get_if<MemberLeft>(&it)) {
                node.codec->forget(left->member.node);
            }
            if (onEvent) {
                onEvent(node, it);
            }
            node.events.push_back(std::move(it));
        }
    }

    ManualClock clock;
    std::vector<Node> nodes;
    double loss = 0;
    /** Whether data centres can reach each other; all can if empty. */
    std::function<bool(std::size_t, std::size_t)> connected;
    std::function<void(Node &, const MembershipEvent &)> onEvent;
    std::uint64_t oversized = 0;

private:
    struct Flight {
        TimePoint at{};
        std::uint64_t order = 0;
        std::size_t to = 0;
        GossipEndpoint from;
        std::string datagram;

        bool operator>(const Flight &other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    static GossipEndpoint endpointOf(std::size_t n)
    {
        return { "127.0.0.1", static_cast<std::uint16_t>(1024 + n) };
    }

    void step()
    {
        clock.advance(std::chrono::milliseconds(1));
        const auto now = clock.now();
        while (!m_flights.empty() && m_flights.top().at <= now) {
            const auto flight = m_flights.top();
            m_flights.pop();
            auto &node = nodes[flight.to];
            if (node.paused) {
                node.buffered.emplace_back(flight.from, flight.datagram);
            } else if (node.running) {
                deliver(node, flight.from, flight.datagram);
                flush(node);
            }
        }
        for (auto &it : nodes) {
            if (it.running && !it.paused && it.nextTick <= now) {
                it.nextTick += TickInterval;
                it.membership->tick();
                flush(it);
            }
        }
    }

    void transmit(const Node &from, const GossipEndpoint &to, const std::string &datagram)
    {
        const auto target = m_nodeOf.find(to);
        if (target == m_nodeOf.end() || m_random.unit() < loss) {
            return;
        }
        const auto sourceCentre = dataCentreOf(m_nodeOf.at(from.endpoint));
        const auto targetCentre = dataCentreOf(target->second);
        if (connected && !connected(sourceCentre, targetCentre)) {
            return;
        }
        const auto delay = sourceCentre == targetCentre ? std::chrono::microseconds(500) : std::chrono::microseconds(1500);
        m_flights.push({ clock.now() + delay, ++m_order, target->second, from.endpoint, datagram });
    }

    static void deliver(Node &node, const GossipEndpoint &from, const std::string &datagram)
    {
        if (const auto decoded = node.codec->decode(datagram)) {
            node.membership->receive(from, *decoded);
        }
    }

    Random m_random;
    std::size_t m_dataCentres;
    std::size_t m_nodesEach;
    std::uint64_t m_order = 0;
    std::map<GossipEndpoint, std::size_t> m_nodeOf;
    std::priority_queue<Flight, std::vector<Flight>, std::greater<>> m_flights;
};

} // namespace Pimentohollow
