#include "soakchecks.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace Pimentohollow::Soak
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint16_t Success = 200;
constexpr std::uint16_t NotFound = 404;
constexpr std::uint16_t ServiceUnavailable = 503;
/** Bounds of the users' site files. */
constexpr Duration ConfigDeadline = 2s;
constexpr Duration DrainTime = 2s;
constexpr Duration StableTime = 3s;
constexpr Duration QuotaWindow = 5s;
constexpr double QuotaTolerance = 1.1;
constexpr double QuotaSlack = 20;
constexpr double BudgetRatio = 0.2;
constexpr double BudgetSlack = 50;
constexpr std::size_t MaximumAttempts = 2;

bool overlaps(const std::vector<TimeSpan> &spans, TimePoint from, TimePoint to)
{
    return std::any_of(spans.begin(), spans.end(), [from, to](const TimeSpan &it) {
        return it.from <= to && it.to >= from;
    });
}

class Checker
{
public:
    explicit Checker(const SoakRecords &records)
        : m_records(records)
    {
        for (const auto &it : records.runs) {
            ++m_runsOf[it.id];
        }
    }

    std::vector<std::string> check()
    {
        for (const auto &it : m_records.requests) {
            checkAnswer(it);
            checkRuns(it);
            checkRules(it);
        }
        checkDrains();
        checkAccounts();
        checkBudget();
        for (const auto &it : m_records.badEnds) {
            report("process", it);
        }
        return m_violations;
    }

private:
    void report(std::string_view rule, const std::string &detail)
    {
        m_violations.push_back(fmt::format("{}: {}", rule, detail));
    }

    static std::string describe(const SentRequest &request)
    {
        return fmt::format("{} {} {} at node {}, status {}, {}",
                           request.id,
                           request.method,
                           request.target,
                           request.node,
                           request.status.value_or(0),
                           request.error);
    }

    bool nodeDisturbed(std::size_t node, TimePoint from, TimePoint to) const
    {
        const auto found = m_records.disturbed.find(node);
        return found != m_records.disturbed.end() && overlaps(found->second, from, to);
    }

    void checkAnswer(const SentRequest &request)
    {
        if (request.status && !request.answerFits) {
            report("whole answers", describe(request));
        }
        if (!request.status && !nodeDisturbed(request.node, request.sentAt, request.endedAt)) {
            report("lost", describe(request));
        }
    }

    void checkRuns(const SentRequest &request)
    {
        const auto found = m_runsOf.find(request.id);
        const std::size_t runs = found == m_runsOf.end() ? 0 : found->second;
        if (runs > (request.method == "POST" ? 1 : MaximumAttempts)) {
            report("at most once", fmt::format("{} ran {} times", describe(request), runs));
        }
        if (request.status == ServiceUnavailable && runs > 0) {
            report("true refusals", fmt::format("{} ran {} times", describe(request), runs));
        }
        if (request.status == Success && runs == 0) {
            report("whole answers", fmt::format("{} never ran", describe(request)));
        }
    }

    void checkRules(const SentRequest &request)
    {
        if (!request.status || !request.target.starts_with("/extra/")) {
            return;
        }
        const auto newer = std::find_if(m_records.rules.begin(), m_records.rules.end(), [&request](const PublishedRules &it) {
            return it.at > request.sentAt - ConfigDeadline;
        });
        // A version that was published lately may or may not be in force.
        if (newer == m_records.rules.begin() || (newer != m_records.rules.end() && newer->at <= request.endedAt)) {
            return;
        }
        const TimePoint from = request.sentAt - StableTime;
        if (nodeDisturbed(request.node, from, request.endedAt) || overlaps(m_records.storeDisturbed, from, request.endedAt)) {
            return;
        }
        const auto &inForce = *std::prev(newer);
        if ((*request.status == NotFound) == inForce.hasExtra) {
            report("rules in force", fmt::format("{}, version {}", describe(request), inForce.version));
        }
    }

    void checkDrains()
    {
        for (const auto &it : m_records.runs) {
            const auto left = m_records.leftAt.find(it.upstream);
            if (left != m_records.leftAt.end() && it.startedAt > left->second + DrainTime) {
                report("drain", fmt::format("{} ran at {}", it.id, it.upstream));
            }
        }
    }

    void checkAccounts()
    {
        for (const auto &[account, bound] : m_records.accounts) {
            std::vector<TimePoint> starts;
            std::set<std::string> seen;
            for (const auto &it : m_records.runs) {
                if (it.account == account && seen.insert(it.id).second) {
                    starts.push_back(it.startedAt);
                }
            }
            std::sort(starts.begin(), starts.end());
            const double allowed =
                (bound.rate * std::chrono::duration<double>(QuotaWindow).count() + bound.burst) * QuotaTolerance + QuotaSlack;
            std::size_t most = 0;
            for (std::size_t first = 0, last = 0; last < starts.size(); ++last) {
                while (starts[last] - starts[first] > QuotaWindow) {
                    ++first;
                }
                most = std::max(most, last - first + 1);
            }
            if (static_cast<double>(most) > allowed) {
                report("account rate", fmt::format("{}: {} requests in a window, {:.0f} allowed", account, most, allowed));
            }
        }
    }

    void checkBudget()
    {
        const double allowed = static_cast<double>(m_records.requests.size()) * BudgetRatio + BudgetSlack;
        const std::size_t repeats = m_records.runs.size() - m_runsOf.size();
        if (static_cast<double>(repeats) > allowed) {
            report("budget", fmt::format("{} repeats, {:.0f} allowed", repeats, allowed));
        }
    }

    const SoakRecords &m_records;
    std::map<std::string, std::size_t> m_runsOf;
    std::vector<std::string> m_violations;
};

} // namespace

std::vector<std::string> findViolations(const SoakRecords &records)
{
    return Checker(records).check();
}

} // namespace Pimentohollow::Soak
