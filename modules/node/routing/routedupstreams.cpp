#include "node/routing/routedupstreams.h"

#include <fmt/format.h>

namespace Pimentohollow
{

namespace
{

/** Gossip spreads the state of a draining node within 2 s; until then its own refusal is remembered. */
constexpr auto DrainingMemory = std::chrono::seconds(3);

std::string peerAddress(const NodeAddress &address)
{
    const bool isIpv6 = address.host.find(':') != std::string::npos;
    return isIpv6 ? fmt::format("[{}]:{}", address.host, address.peerPort) : fmt::format("{}:{}", address.host, address.peerPort);
}

} // namespace

AnswerKind answerKind(const CallResult &result)
{
    constexpr std::uint16_t FirstServerError = 500;
    constexpr std::uint16_t ServiceUnavailable = 503;
    if (const auto *answer = std::get_if<HttpResponseMessage>(&result)) {
        // 503 is how an upstream sheds load, and it may come from a deeper service.
        const bool failed = answer->status >= FirstServerError && answer->status != ServiceUnavailable;
        return failed ? AnswerKind::Failure : AnswerKind::Success;
    }
    const Refusal &refusal = std::get<Refusal>(result);
    const bool unreachable = refusal.reason == RefusalReason::NoUpstream;
    return refusal.ran == RunState::NotRun && !unreachable ? AnswerKind::Shed : AnswerKind::Failure;
}

RoutedUpstreams::RoutedUpstreams(DataCentreName ownDataCentre, const Clock &clock, std::uint64_t seed)
    : m_clock(clock)
    , m_random(seed)
    , m_table(std::move(ownDataCentre))
    , m_selector(m_table, clock, m_random)
    , m_ejector(m_table, clock)
    , m_load(m_table, clock, m_random)
{
}

void RoutedUpstreams::update(const FleetSnapshot &snapshot)
{
    const std::lock_guard lock(m_mutex);
    std::unordered_map<NodeName, std::string> addresses;
    for (const auto &it : snapshot.members) {
        addresses.emplace(it.node, peerAddress(it.address));
    }
    for (const auto &[node, address] : m_peerAddresses) {
        if (!addresses.contains(node)) {
            m_table.remove(node);
        }
    }
    m_peerAddresses = std::move(addresses);
    for (const auto &it : snapshot.upstreams) {
        if (m_peerAddresses.contains(it.node)) {
            m_table.apply(it, m_clock.now());
        }
    }
}

bool RoutedUpstreams::admits(const RequestContext &context)
{
    const std::lock_guard lock(m_mutex);
    return m_load.admit(context.service, context.priority);
}

std::optional<UpstreamTarget> RoutedUpstreams::choose(const RequestContext &context, const std::vector<NodeName> &tried)
{
    const std::lock_guard lock(m_mutex);
    const auto selection = m_selector.choose(context.service, excluded(tried));
    if (!selection) {
        return std::nullopt;
    }
    const auto address = m_peerAddresses.find(selection->node);
    if (address == m_peerAddresses.end()) {
        return std::nullopt;
    }
    m_table.callStarted(selection->node);
    return UpstreamTarget{ selection->node, address->second };
}

bool RoutedUpstreams::hasOther(const RequestContext &context, const std::vector<NodeName> &tried)
{
    const std::lock_guard lock(m_mutex);
    return m_selector.choose(context.service, excluded(tried)).has_value();
}

std::vector<NodeName> RoutedUpstreams::excluded(const std::vector<NodeName> &tried)
{
    const TimePoint now = m_clock.now();
    std::erase_if(m_drainingUntil, [now](const auto &it) {
        return it.second <= now;
    });
    std::vector<NodeName> result = tried;
    for (const auto &[node, until] : m_drainingUntil) {
        result.push_back(node);
    }
    return result;
}

void RoutedUpstreams::finished(const RequestContext & /*context*/,
                               const UpstreamTarget &target,
                               const CallResponse &response,
                               Duration took)
{
    const std::lock_guard lock(m_mutex);
    m_table.callEnded(target.node);
    m_ejector.onAnswer(target.node, answerKind(response.result), took);
    if (const auto *refusal = std::get_if<Refusal>(&response.result); refusal && refusal->reason == RefusalReason::Draining) {
        m_drainingUntil[target.node] = m_clock.now() + DrainingMemory;
    }
    if (response.upstream && response.upstream->node == target.node) {
        m_table.apply(*response.upstream, m_clock.now());
    }
}

} // namespace Pimentohollow
