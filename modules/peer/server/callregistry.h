#pragma once

#include "core/clock.h"
#include "messages/call/callmessages.h"

#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Pimentohollow
{

/**
 * The attempts that this node was asked to run lately and their answers, so that an entry node whose link broke can
 * learn the outcome. Thread-safe.
 */
class CallRegistry
{
public:
    using Listener = std::function<void(const CallResponse &)>;

    /** How long an attempt is remembered from its begin. */
    static constexpr Duration Retention = std::chrono::seconds(30);
    /** Oldest attempt about which "not run" is stated; the margin covers the time a question travels. */
    static constexpr Duration MaximumAge = std::chrono::seconds(15);
    /** Bound on the bytes of answers kept; beyond it the oldest answers are dropped and their outcome is unknown. */
    static constexpr std::size_t MaximumAnswerBytes = std::size_t{ 16 } * 1024 * 1024;

    explicit CallRegistry(const Clock &clock);

    /** Notes that an attempt begins; false if it is known already and must not run again. */
    bool begin(const std::string &attemptId);

    /** Notes the answer and tells those who asked for it. */
    void finish(const std::string &attemptId, const CallResponse &response);

    /** Calls @p listener with the answer, now or when the attempt ends. */
    void query(const std::string &attemptId, Duration age, const Listener &listener);

private:
    struct Attempt {
        bool finished = false;
        std::optional<CallResponse> answer;
        std::vector<Listener> listeners;
    };
    struct Started {
        TimePoint at;
        std::string attemptId;
    };

    void forgetOld();
    void dropAnswers();

    const Clock &m_clock;
    std::mutex m_mutex;
    std::unordered_map<std::string, Attempt> m_attempts;
    std::deque<Started> m_started;
    std::deque<std::string> m_answered;
    std::size_t m_answerBytes = 0;
};

} // namespace Pimentohollow
