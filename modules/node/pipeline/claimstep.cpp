#include "node/pipeline/claimstep.h"

#include <array>
#include <fmt/format.h>
#include <openssl/evp.h>

namespace Pimentohollow
{

namespace
{

Refusal notRun(RefusalReason reason, std::string detail)
{
    return { reason, RunState::NotRun, {}, std::move(detail) };
}

ClaimOutcome outcomeOf(const HttpResponseMessage &answer)
{
    ClaimOutcome outcome;
    outcome.status = answer.status;
    for (const auto &it : answer.headers) {
        outcome.headers.push_back({ it.name, it.value });
    }
    outcome.body = answer.body;
    return outcome;
}

HttpResponseMessage answerOf(const ClaimOutcome &outcome)
{
    HttpResponseMessage answer;
    answer.status = static_cast<std::uint16_t>(outcome.status);
    for (const auto &it : outcome.headers) {
        answer.headers.push_back({ it.name, it.value });
    }
    answer.body = outcome.body;
    return answer;
}

} // namespace

std::string claimFingerprint(const CallRequest &request)
{
    std::string data;
    for (const auto *it : { &request.route.text(), &request.request.method, &request.request.target, &request.request.body }) {
        data += fmt::format("{}:", it->size()); // lengths keep neighbouring parts apart
        data += *it;
    }
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    EVP_Digest(data.data(), data.size(), digest.data(), &length, EVP_sha256(), nullptr);
    std::string hex;
    for (unsigned int n = 0; n < length; ++n) {
        hex += fmt::format("{:02x}", digest[n]);
    }
    return hex;
}

ClaimStep::ClaimStep(ClaimService *claims)
    : m_claims(claims)
{
}

bool ClaimStep::applies(const CallRequest &request)
{
    return !request.idempotent && !request.idempotencyKey.empty();
}

CallResult ClaimStep::run(const UpstreamWork &work, AdmissionGate::Slot &slot, const Run &run, Cancellation &cancellation)
{
    if (m_claims == nullptr) {
        return notRun(RefusalReason::PlatformUnavailable, "this node can't make claims");
    }
    const RequestContext &context = work.inFlight.context();
    slot.pause();
    ClaimVerdict verdict = m_claims->claim(
        { { context.account, work.request.idempotencyKey }, claimFingerprint(work.request), context.deadline }, cancellation);
    if (auto *refusal = std::get_if<Refusal>(&verdict)) {
        return std::move(*refusal);
    }
    if (const auto *replay = std::get_if<ReplayOutcome>(&verdict)) {
        return answerOf(replay->outcome);
    }
    return runClaimed(std::get<MayRun>(verdict).claimId, slot, run, cancellation);
}

CallResult ClaimStep::runClaimed(const std::string &claimId, AdmissionGate::Slot &slot, const Run &run, Cancellation &cancellation)
{
    if (auto resumed = slot.resume(cancellation); !resumed) {
        m_claims->release(claimId);
        return std::move(resumed.error());
    }
    if (!m_claims->startRun(claimId)) {
        return notRun(RefusalReason::DeadlineExceeded, "the claim lapsed before the request could start");
    }
    slot.started();
    CallResult result = run();
    record(claimId, result);
    return result;
}

void ClaimStep::record(const std::string &claimId, const CallResult &result)
{
    if (const auto *answer = std::get_if<HttpResponseMessage>(&result)) {
        m_claims->finish(claimId, outcomeOf(*answer));
    } else if (std::get<Refusal>(result).ran == RunState::NotRun) {
        m_claims->release(claimId);
    } else {
        m_claims->lose(claimId);
    }
}

} // namespace Pimentohollow
