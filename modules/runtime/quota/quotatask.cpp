#include "runtime/quota/quotatask.h"

#include "core/logger.h"

#include <algorithm>
#include <cmath>

namespace Pimentohollow
{

namespace
{

constexpr auto TickInterval = std::chrono::milliseconds(100);
constexpr auto PlatformInterval = std::chrono::milliseconds(100);
constexpr auto ShareRequestInterval = std::chrono::milliseconds(500);
/** Retry-After of a request whose account isn't known here yet. */
constexpr auto UnknownAccountRetry = std::chrono::seconds(1);
const Logger Log("quota");

std::uint64_t microtokens(double tokens)
{
    return static_cast<std::uint64_t>(std::llround(tokens * static_cast<double>(OneToken)));
}

} // namespace

QuotaTask::QuotaTask(const ShareSettings &settings, const Parts &parts, std::uint64_t seed)
    : m_settings(settings)
    , m_parts(parts)
    , m_random(seed)
    , m_shares(settings, m_random)
    , m_exchange(settings.node, settings.dataCentre, m_ledger, m_random)
{
}

QuotaTask::~QuotaTask()
{
    stop();
}

void QuotaTask::start()
{
    m_timer = std::thread([this] {
        runTimer();
    });
    m_platform = std::thread([this] {
        runPlatform();
    });
}

void QuotaTask::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    m_granted.notify_all();
    if (m_timer.joinable()) {
        m_timer.join();
        m_platform.join();
    }
}

std::optional<Refusal> QuotaTask::take(const AccountName &account)
{
    std::unique_lock lock(m_mutex);
    const TimePoint firstTried = m_parts.clock.now();
    Admission admission = m_exchange.admit(account, std::nullopt, firstTried);
    flush();
    while (admission.state == AdmissionState::Waiting && !m_stopping) {
        m_granted.wait_until(lock, admission.waitUntil);
        admission = m_exchange.admit(account, firstTried, m_parts.clock.now());
        flush();
    }
    if (admission.state == AdmissionState::Admitted) {
        return std::nullopt;
    }
    return refusal(admission.state == AdmissionState::UnknownAccount ? Duration(UnknownAccountRetry) : admission.retryAfter);
}

Refusal QuotaTask::refusal(Duration retryAfter) const
{
    return { RefusalReason::RateExceeded, RunState::NotRun, retryAfter, "the client account has used up its rate and burst" };
}

void QuotaTask::onGossipEvent(const MembershipEvent &event)
{
    const auto *received = std::get_if<QuotaMessageReceived>(&event);
    if (received == nullptr) {
        return;
    }
    const std::lock_guard lock(m_mutex);
    std::visit(
        [this, received](const auto &it) {
            handle(*received, it);
        },
        received->message);
    flush();
}

void QuotaTask::handle(const QuotaMessageReceived &event, const TokenRequest &message)
{
    m_exchange.receive(event.sender, message, m_parts.clock.now());
}

void QuotaTask::handle(const QuotaMessageReceived &event, const TokenGrant &message)
{
    if (m_exchange.receive(event.sender, message, m_parts.clock.now())) {
        m_granted.notify_all();
    }
}

void QuotaTask::handle(const QuotaMessageReceived &event, const ShareRequest &message)
{
    ShareGrant grant;
    grant.request = message.request;
    grant.incarnation = m_settings.incarnation;
    grant.shares = m_shares.handOver(message.count, m_parts.clock.now());
    if (!grant.shares.empty()) {
        m_parts.gossip.send(event.from, grant);
    }
}

void QuotaTask::handle(const QuotaMessageReceived &event, const ShareGrant &message)
{
    // Only an answer to the latest request counts: an older one may describe a state that has changed since.
    if (message.request != m_shareRequest || event.sender != m_shareRequestTo) {
        return;
    }
    m_shares.onHandedOver(event.sender, message.incarnation, message.shares);
    m_wake.notify_all();
}

void QuotaTask::onGossipRound(const FleetSnapshot &snapshot)
{
    const std::lock_guard lock(m_mutex);
    const TimePoint now = m_parts.clock.now();
    std::vector<QuotaPeer> peers;
    std::vector<NodeName> nodes;
    m_endpoints.clear();
    for (const auto &it : snapshot.members) {
        if (it.dataCentre == m_settings.dataCentre && it.state == MemberState::Alive) {
            nodes.push_back(it.node);
        }
        if (it.node != m_settings.node) {
            peers.push_back({ it.node, it.dataCentre, it.shares });
            m_endpoints[it.node] = { it.address.host, it.address.gossipPort };
        }
    }
    m_holderKnown = std::any_of(peers.begin(), peers.end(), [](const QuotaPeer &it) {
        return it.shares > 0;
    });
    m_shares.setMembers(nodes);
    m_exchange.setPeers(std::move(peers), now);
    askForShares(snapshot, now);
}

void QuotaTask::askForShares(const FleetSnapshot &snapshot, TimePoint now)
{
    if (now < m_nextShareRequest || m_shares.held() >= m_shares.target()) {
        return;
    }
    const auto giver = std::find_if(snapshot.members.begin(), snapshot.members.end(), [this](const MemberUpdate &it) {
        return it.dataCentre == m_settings.dataCentre && it.state == MemberState::Leaving && it.shares > 0 && it.node != m_settings.node;
    });
    if (giver == snapshot.members.end()) {
        return;
    }
    m_nextShareRequest = now + ShareRequestInterval;
    m_shareRequestTo = giver->node;
    const auto missing = std::min<std::size_t>(m_shares.target() - m_shares.held(), SharesPerDataCentre);
    const ShareRequest request{ ++m_shareRequest, static_cast<std::uint8_t>(missing) };
    m_parts.gossip.send(m_endpoints[giver->node], request);
}

void QuotaTask::onConfiguration(const FleetView &view)
{
    const WallTime wallNow = m_parts.clock.wallNow();
    std::map<AccountName, AccountRate> accounts;
    for (const auto &[name, account] : view.fleet().accounts) {
        if (const auto limits = view.accountLimits(name, wallNow)) {
            accounts[name] = { microtokens(limits->rate), microtokens(limits->burst) };
        }
    }
    std::vector<DataCentreName> dataCentres;
    for (const auto &[name, dataCentre] : view.fleet().dataCentres) {
        dataCentres.push_back(name);
    }
    const std::lock_guard lock(m_mutex);
    m_shares.setDataCentres(dataCentres);
    for (const auto &[node, drain] : view.fleet().drains) {
        if (drain.mode == DrainMode::Removed) {
            m_shares.nodeRemoved(node);
        }
    }
    m_ledger.setAccounts(accounts, m_shares.split(), m_parts.clock.now());
    m_wake.notify_all();
}

void QuotaTask::drain()
{
    const std::lock_guard lock(m_mutex);
    m_shares.drain(m_parts.clock.now());
    settleHoldings(m_parts.clock.now());
    m_wake.notify_all();
}

bool QuotaTask::waitUntilDrained(TimePoint deadline)
{
    constexpr auto Step = std::chrono::milliseconds(20);
    while (m_parts.clock.now() < deadline) {
        {
            const std::lock_guard lock(m_mutex);
            if (m_shares.drained()) {
                return true;
            }
        }
        std::this_thread::sleep_for(Step);
    }
    return false;
}

bool QuotaTask::usable()
{
    const std::lock_guard lock(m_mutex);
    return m_holderKnown || m_ledger.activeShares(m_parts.clock.now()) > 0;
}

std::size_t QuotaTask::activeShares()
{
    const std::lock_guard lock(m_mutex);
    return m_ledger.activeShares(m_parts.clock.now());
}

ExchangeCounters QuotaTask::counters()
{
    const std::lock_guard lock(m_mutex);
    return m_exchange.counters();
}

void QuotaTask::runTimer()
{
    std::unique_lock lock(m_mutex);
    TimePoint next = m_parts.clock.now();
    while (!m_stopping) {
        tick(m_parts.clock.now());
        next += TickInterval;
        m_wake.wait_until(lock, next, [this] {
            return m_stopping;
        });
    }
}

void QuotaTask::tick(TimePoint now)
{
    settleHoldings(now);
    m_exchange.tick(now);
    flush();
}

void QuotaTask::settleHoldings(TimePoint now)
{
    m_ledger.setSplit(m_shares.split(), m_shares.index(), now);
    m_ledger.setHoldings(m_shares.holdings(), now);
    const std::size_t held = m_shares.held();
    if (held == m_publishedShares) {
        return;
    }
    m_publishedShares = held;
    m_parts.gossip.post([held](Membership &membership) {
        membership.setShares(static_cast<std::uint8_t>(held));
    });
    Log.info("shares_held", { { "count", std::to_string(held) } });
}

void QuotaTask::flush()
{
    for (const auto &it : m_exchange.takeMessages()) {
        const auto endpoint = m_endpoints.find(it.to);
        if (endpoint == m_endpoints.end()) {
            continue; // left the fleet in the meantime; a lost message loses tokens and nothing else
        }
        m_parts.gossip.send(endpoint->second,
                            std::visit(
                                [](const auto &message) {
                                    return QuotaMessage(message);
                                },
                                it.message));
    }
}

void QuotaTask::runPlatform()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        const auto action = m_shares.next(m_parts.clock.now());
        if (!action) {
            m_wake.wait_for(lock, PlatformInterval);
            continue;
        }
        lock.unlock();
        perform(*action);
        lock.lock();
    }
}

void QuotaTask::perform(const ShareAction &action)
{
    if (const auto *read = std::get_if<ReadShares>(&action)) {
        const auto result = m_parts.table.get(read->key);
        const std::lock_guard lock(m_mutex);
        m_shares.onRead(result, m_parts.clock.now());
    } else if (const auto *readAll = std::get_if<ReadAllShares>(&action)) {
        // Sort keys are the names of data centres, which are plain ASCII.
        const auto result = m_parts.table.query(readAll->partition, " ", "~", TableService::MaximumOperations);
        const std::lock_guard lock(m_mutex);
        m_shares.onReadAll(result, m_parts.clock.now());
    } else {
        const auto &write = std::get<WriteShares>(action);
        const auto result = m_parts.table.transact(write.operations, write.token);
        if (!result) {
            Log.warning("share_write_failed", { { "error", result.error().describe() } });
        }
        const std::lock_guard lock(m_mutex);
        m_shares.onWritten(result, m_parts.clock.now());
        settleHoldings(m_parts.clock.now());
    }
}

} // namespace Pimentohollow
