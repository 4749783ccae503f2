#pragma once

#include "core/core.h"
#include "messages/gossip/gossip.h"
#include "quota/quota.h"
#include "quota/tests/faketable.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <utility>
#include <vector>

namespace Pimentohollow
{

/** The quota module of many nodes over an in-process network and platform with faults. Everything follows from the seed. */
class QuotaFleet
{
public:
    struct Request {
        AccountName account;
        TimePoint firstTried{};
    };
    struct Node {
        ShareSettings settings;
        std::unique_ptr<Random> random;
        std::unique_ptr<QuotaLedger> ledger;
        std::unique_ptr<ShareTable> shares;
        std::unique_ptr<TokenExchange> exchange;
        bool running = true;
        bool paused = false;
        TimePoint pausedAt{};
        TimePoint nextTick{};
        std::vector<Request> waiting;
        std::vector<std::function<void()>> buffered;
        std::map<AccountName, AccountRate> accounts;
    };
    /** Probabilities per message, and the state of the platform. */
    struct Faults {
        double loss = 0;
        double repeat = 0;
        double late = 0;
        bool outage = false;
        double lostAnswer = 0;
    };

    QuotaFleet(
        std::uint64_t seed, std::size_t dataCentres, std::size_t nodesEach, QuotaFaults off = {}, Duration lease = std::chrono::hours(24))
        : m_random(seed)
        , m_dataCentres(dataCentres)
        , m_nodesEach(nodesEach)
        , m_off(off)
        , m_lease(lease)
    {
        nodes.resize(dataCentres * nodesEach);
        for (std::size_t n = 0; n < nodes.size(); ++n) {
            start(n);
        }
    }

    /** Starts a new process on the address of node @p n; the one before is dead. */
    void start(std::size_t n)
    {
        auto accounts = std::move(nodes[n].accounts);
        Node node;
        node.settings.node = name(n);
        node.settings.dataCentre = dataCentre(n / m_nodesEach);
        node.settings.address = { "127.0.0.1", static_cast<std::uint16_t>(1024 + n), 1 };
        node.settings.incarnation = ++m_incarnation;
        node.settings.lease = m_lease;
        node.settings.renewal = m_lease / 8;
        node.random = std::make_unique<Random>(m_random.engine()());
        node.ledger = std::make_unique<QuotaLedger>(m_off);
        node.shares = std::make_unique<ShareTable>(node.settings, *node.random, m_off);
        node.exchange = std::make_unique<TokenExchange>(node.settings.node, node.settings.dataCentre, *node.ledger, *node.random, m_off);
        node.shares->setDataCentres(configuredDataCentres());
        node.nextTick = clock.now() + Duration(m_random.below(100'000'000));
        node.accounts = std::move(accounts);
        nodes[n] = std::move(node);
        ++generation;
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

    void setAccounts(std::size_t n, const std::map<AccountName, AccountRate> &accounts)
    {
        nodes[n].accounts = accounts;
        nodes[n].ledger->setAccounts(accounts, nodes[n].shares->split(), clock.now());
    }

    /** A request arrives at node @p n. */
    void request(std::size_t n, const AccountName &account)
    {
        tryRequest(n, { account, clock.now() }, true);
    }

    void step(Duration time = std::chrono::milliseconds(1))
    {
        clock.advance(time);
        const auto now = clock.now();
        while (!m_events.empty() && m_events.top().at <= now) {
            const auto action = m_events.top().action;
            m_events.pop();
            action();
        }
        for (std::size_t n = 0; n < nodes.size(); ++n) {
            if (nodes[n].running && !nodes[n].paused) {
                serve(n, now);
            }
        }
    }

    void pause(std::size_t n)
    {
        nodes[n].paused = true;
        nodes[n].pausedAt = clock.now();
    }

    void resume(std::size_t n)
    {
        nodes[n].paused = false;
        retry(n);
        for (const auto &it : std::exchange(nodes[n].buffered, {})) {
            it();
        }
    }

    /** Number of processes that mint with the same share now, at most. */
    std::size_t mostHolders() const
    {
        std::map<std::pair<std::size_t, std::uint8_t>, std::size_t> holders;
        std::size_t most = 0;
        const auto now = clock.now();
        for (std::size_t n = 0; n < nodes.size(); ++n) {
            for (const auto &it : nodes[n].shares->holdings()) {
                if (nodes[n].running && it.mintFrom <= now && (now < it.mintUntil || m_off.leaseIgnored)) {
                    most = std::max(most, ++holders[{ dataCentreOf(n), it.share }]);
                }
            }
        }
        return most;
    }

    ManualClock clock;
    FakeTable table;
    std::vector<Node> nodes;
    Faults faults;
    /** Whether data centres can reach each other; all can if empty. */
    std::function<bool(std::size_t, std::size_t)> connected;
    std::function<void(std::size_t, const AccountName &, AdmissionState, Duration)> onDecision;
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    std::uint64_t generation = 0;
    /** Data centres of the configuration; all if 0. */
    std::size_t configured = 0;

    std::vector<DataCentreName> configuredDataCentres() const
    {
        std::vector<DataCentreName> result;
        for (std::size_t n = 0; n < (configured == 0 ? m_dataCentres : configured); ++n) {
            result.push_back(dataCentre(n));
        }
        return result;
    }

private:
    struct Event {
        TimePoint at{};
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator>(const Event &other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    static constexpr Duration TickInterval = std::chrono::milliseconds(100);
    /** After which membership would report a paused node as failed. */
    static constexpr Duration DetectionTime = std::chrono::seconds(5);

    void serve(std::size_t n, TimePoint now)
    {
        auto &node = nodes[n];
        if (now >= node.nextTick) {
            node.nextTick = std::max(node.nextTick + TickInterval, now);
            updateView(n, now);
            node.exchange->tick(now);
            if (const auto action = node.shares->next(now)) {
                execute(n, *action);
            }
        }
        retry(n);
        flush(n);
    }

    void updateView(std::size_t n, TimePoint now)
    {
        auto &node = nodes[n];
        std::vector<NodeName> local;
        std::vector<QuotaPeer> peers;
        for (std::size_t other = 0; other < nodes.size(); ++other) {
            const bool silent = nodes[other].paused && now - nodes[other].pausedAt > DetectionTime;
            const bool linked = !connected || connected(dataCentreOf(n), dataCentreOf(other));
            const bool reachable = nodes[other].running && !silent && linked;
            if (reachable && dataCentreOf(other) == dataCentreOf(n)) {
                local.push_back(name(other));
            }
            if (reachable && other != n) {
                peers.push_back({ name(other), dataCentre(dataCentreOf(other)), static_cast<std::uint8_t>(nodes[other].shares->held()) });
            }
        }
        node.shares->setMembers(local);
        node.ledger->setSplit(node.shares->split(), node.shares->index(), now);
        node.ledger->setHoldings(node.shares->holdings(), now);
        node.exchange->setPeers(std::move(peers), now);
    }

    void retry(std::size_t n)
    {
        for (const auto &it : std::exchange(nodes[n].waiting, {})) {
            tryRequest(n, it, false);
        }
    }

    void tryRequest(std::size_t n, const Request &request, bool first)
    {
        auto &node = nodes[n];
        const auto now = clock.now();
        node.ledger->setHoldings(node.shares->holdings(), now);
        const auto result = node.exchange->admit(request.account, first ? std::nullopt : std::optional(request.firstTried), now);
        if (result.state == AdmissionState::Waiting) {
            node.waiting.push_back(request);
        } else if (onDecision) {
            onDecision(n, request.account, result.state, now - request.firstTried);
        }
        flush(n);
    }

    void flush(std::size_t n)
    {
        for (auto &it : nodes[n].exchange->takeMessages()) {
            const auto message = std::visit(
                [](const auto &content) {
                    return GossipMessage(content);
                },
                it.message);
            ++messages;
            bytes += DatagramCodec::MaximumBytes - DatagramCodec::freeBytes(name(n), message);
            transmit(n, it);
            if (m_random.unit() < faults.repeat) {
                transmit(n, it);
            }
        }
    }

    void transmit(std::size_t from, const QuotaOutput &output)
    {
        const auto to = static_cast<std::size_t>(std::stoul(output.to.text().substr(5)));
        const bool cut = connected && !connected(dataCentreOf(from), dataCentreOf(to));
        if (cut || m_random.unit() < faults.loss) {
            return;
        }
        Duration delay = std::chrono::microseconds(dataCentreOf(from) == dataCentreOf(to) ? 500 : 1500);
        if (m_random.unit() < faults.late) {
            delay += Duration(m_random.below(4'000'000'000));
        }
        const auto target = nodes[to].settings.incarnation;
        schedule(delay, to, target, [this, from, to, output] {
            auto &exchange = *nodes[to].exchange;
            std::visit(
                [&](const auto &it) {
                    exchange.receive(name(from), it, clock.now());
                },
                output.message);
            retry(to);
            flush(to);
        });
    }

    /** Runs @p action at the process, or when it resumes; never at its successor. */
    void schedule(Duration delay, std::size_t n, std::uint64_t incarnation, std::function<void()> action)
    {
        m_events.push({ clock.now() + delay, ++m_order, [this, n, incarnation, action = std::move(action)] {
                           auto &node = nodes[n];
                           if (!node.running || node.settings.incarnation != incarnation) {
                               return;
                           }
                           if (node.paused) {
                               node.buffered.push_back(action);
                           } else {
                               action();
                           }
                       } });
    }

    void execute(std::size_t n, const ShareAction &action)
    {
        const auto delay = std::chrono::milliseconds(2) + Duration(m_random.below(20'000'000));
        const auto incarnation = nodes[n].settings.incarnation;
        const bool outage = faults.outage;
        const bool lost = m_random.unit() < faults.lostAnswer;
        const Error error{ lost ? ErrorKind::Timeout : ErrorKind::Unavailable, "table", "", "" };
        if (const auto *write = std::get_if<WriteShares>(&action)) {
            const auto operations = write->operations;
            // A lost answer comes with a write that takes effect later than the caller believes.
            const auto effect = lost ? Duration(m_random.below(3'000'000'000)) : delay / 2;
            auto result = std::make_shared<std::optional<TransactionResult>>();
            if (!outage) {
                m_events.push({ clock.now() + effect, ++m_order, [this, operations, result] {
                                   *result = table.transact(operations);
                               } });
            }
            schedule(delay, n, incarnation, [this, n, result, outage, lost, error] {
                const bool failed = outage || lost;
                nodes[n].shares->onWritten(failed ? Result<TransactionResult>(tl::unexpected(error)) : **result, clock.now());
            });
            return;
        }
        schedule(delay, n, incarnation, [this, n, action, outage, lost, error] {
            auto &shares = *nodes[n].shares;
            const auto *read = std::get_if<ReadShares>(&action);
            if (read != nullptr && (outage || lost)) {
                shares.onRead(tl::unexpected(error), clock.now());
            } else if (read != nullptr) {
                shares.onRead(table.get(read->key), clock.now());
            } else if (outage || lost) {
                shares.onReadAll(tl::unexpected(error), clock.now());
            } else {
                shares.onReadAll(table.all(std::get<ReadAllShares>(action).partition), clock.now());
            }
        });
    }

    Random m_random;
    std::size_t m_dataCentres;
    std::size_t m_nodesEach;
    QuotaFaults m_off;
    Duration m_lease;
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_order = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
};

} // namespace Pimentohollow
