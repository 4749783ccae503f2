#pragma once

#include "core/manualclock.h"
#include "storage/interfaces/objectstore.h"
#include "storage/interfaces/tableservice.h"

#include <deque>
#include <set>

namespace Pimentohollow
{

enum class Fault {
    None,
    Unavailable, ///< nothing is written
    TimeoutBeforeWrite, ///< nothing is written, but the caller can't know
    AnswerLost, ///< written, but the answer is lost
    LateWrite, ///< no answer, and the write takes effect after the next call or LongestDelay, whichever is first
    Slow, ///< written and answered after two seconds
};

/** In-memory table that follows TableService's contract and takes its faults from a list, one per call. */
class FakeTable : public TableService
{
public:
    /** An abandoned write takes effect within this time; ClaimBatcher::SecondReleaseDelay is chosen above it. */
    static constexpr Duration LongestDelay = std::chrono::seconds(10);

    explicit FakeTable(ManualClock &clock)
        : m_clock(clock)
    {
    }

    std::map<RowKey, Row> rows;
    std::deque<Fault> faults;
    std::size_t commits = 0;

    Result<std::optional<Row>> get(const RowKey &key) override
    {
        const auto fault = nextFault();
        if (fault == Fault::Unavailable) {
            return failure(ErrorKind::Unavailable, "table.get", "fault");
        }
        if (fault != Fault::None && fault != Fault::Slow) {
            return failure(ErrorKind::Timeout, "table.get", "fault");
        }
        const auto it = rows.find(key);
        const auto row = it == rows.end() ? std::nullopt : std::optional(it->second);
        applyLate();
        return row;
    }

    Result<std::vector<KeyedRow>>
    query(const std::string &partition, const std::string &first, const std::string &last, std::size_t limit) override
    {
        std::vector<KeyedRow> found;
        for (const auto &[key, row] : rows) {
            if (key.partition == partition && key.sort >= first && key.sort <= last && found.size() < limit) {
                found.push_back({ key, row });
            }
        }
        return found;
    }

    Result<TransactionResult> transact(const std::vector<TableOperation> &operations, const std::string &token) override
    {
        ++commits;
        const auto fault = nextFault();
        if (fault == Fault::Unavailable) {
            return failure(ErrorKind::Unavailable, "table.transact", "fault");
        }
        if (fault == Fault::TimeoutBeforeWrite) {
            return failure(ErrorKind::Timeout, "table.transact", "fault");
        }
        if (fault == Fault::LateWrite) {
            m_late.push_back({ operations, token, m_clock.now() + LongestDelay });
            return failure(ErrorKind::Timeout, "table.transact", "fault");
        }
        auto result = apply(operations, token);
        applyLate();
        if (fault == Fault::AnswerLost) {
            return failure(ErrorKind::OutcomeUnknown, "table.transact", "fault");
        }
        return result;
    }

private:
    struct Late {
        std::vector<TableOperation> operations;
        std::string token;
        TimePoint due;
    };

    Fault nextFault()
    {
        if (!m_late.empty() && m_late.front().due <= m_clock.now()) {
            applyLate();
        }
        if (faults.empty()) {
            return Fault::None;
        }
        const auto fault = faults.front();
        faults.pop_front();
        if (fault == Fault::Slow) {
            m_clock.advance(std::chrono::seconds(2));
        }
        return fault;
    }

    void applyLate()
    {
        for (const auto &it : std::exchange(m_late, {})) {
            apply(it.operations, it.token);
        }
    }

    bool holds(const RowKey &key, const RowCondition &condition) const
    {
        const auto it = rows.find(key);
        if (std::holds_alternative<RowAbsent>(condition)) {
            return it == rows.end();
        }
        const auto *equals = std::get_if<AttributeEquals>(&condition);
        return !equals || (it != rows.end() && it->second.contains(equals->attribute) && it->second.at(equals->attribute) == equals->value);
    }

    TransactionResult apply(const std::vector<TableOperation> &operations, const std::string &token)
    {
        if (m_tokens.contains(token)) {
            return { true, {} };
        }
        TransactionResult result;
        for (std::size_t n = 0; n < operations.size(); ++n) {
            const bool ok = std::visit(
                [this](const auto &it) {
                    return holds(it.key, it.condition);
                },
                operations[n]);
            if (!ok) {
                result.failedConditions.push_back(n);
            }
        }
        if (!result.failedConditions.empty()) {
            return result;
        }
        for (const auto &it : operations) {
            if (const auto *put = std::get_if<PutRow>(&it)) {
                rows[put->key] = put->row;
            } else if (const auto *remove = std::get_if<DeleteRow>(&it)) {
                rows.erase(remove->key);
            }
        }
        m_tokens.insert(token);
        result.committed = true;
        return result;
    }

    ManualClock &m_clock;
    std::set<std::string> m_tokens;
    std::vector<Late> m_late;
};

/** In-memory object store that fails while told to. */
class FakeObjects : public ObjectStore
{
public:
    std::map<std::string, std::string> objects;
    bool available = true;

    Result<std::optional<std::string>> get(const std::string &key) override
    {
        if (!available) {
            return failure(ErrorKind::Unavailable, "object.get", "fault");
        }
        const auto it = objects.find(key);
        return it == objects.end() ? std::nullopt : std::optional(it->second);
    }

    Result<void> put(const std::string &key, const std::string &content) override
    {
        if (!available) {
            return failure(ErrorKind::Unavailable, "object.put", "fault");
        }
        objects[key] = content;
        return {};
    }

    Result<void> remove(const std::string &key) override
    {
        objects.erase(key);
        return {};
    }
};

} // namespace Pimentohollow
