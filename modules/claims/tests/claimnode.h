#pragma once

#include "claims/claims.h"
#include "faketable.h"

namespace Pimentohollow
{

/** The claims of one process on a fake platform. */
class ClaimNode
{
public:
    ClaimNode(const std::string &name,
              std::uint64_t incarnation,
              const Clock &clock,
              FakeTable &table,
              FakeObjects &objects,
              ClaimRegistry::LivenessFunction liveness)
        : m_random(std::hash<std::string>()(name) + incarnation)
        , registry({ NodeName(name), incarnation }, clock, m_random, std::move(liveness))
        , batcher(DataCentreName("dc"), clock, m_random)
        , executor(table, objects)
        , m_clock(clock)
    {
    }

    ClaimTicket begin(const std::string &key, const std::string &fingerprint = "f")
    {
        return registry.begin({ { AccountName("a"), key }, fingerprint, m_clock.now() + std::chrono::seconds(10) });
    }

    void run()
    {
        runClaims(registry, batcher, executor);
        for (const auto &it : registry.takeAnswers()) {
            answers[it.ticket] = it.verdict;
        }
    }

    /** The answer in one word: "run", "replay", a refusal's reason, or "pending". */
    std::string answer(ClaimTicket ticket) const
    {
        const auto it = answers.find(ticket);
        if (it == answers.end()) {
            return "pending";
        }
        if (const auto *refusal = std::get_if<Refusal>(&it->second)) {
            return std::string(RefusalReasonNames.name(refusal->reason));
        }
        return std::holds_alternative<MayRun>(it->second) ? "run" : "replay";
    }

    std::string claimId(ClaimTicket ticket) const
    {
        return std::get<MayRun>(answers.at(ticket)).claimId;
    }

private:
    Random m_random;

public:
    ClaimRegistry registry;
    ClaimBatcher batcher;
    ClaimExecutor executor;
    std::map<ClaimTicket, ClaimVerdict> answers;

private:
    const Clock &m_clock;
};

} // namespace Pimentohollow
