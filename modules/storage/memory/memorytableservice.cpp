#include "storage/memory/memorytableservice.h"

#include <fmt/format.h>
#include <set>

namespace Pimentohollow
{

namespace
{

/** Tokens remembered for repeats; a real table service forgets them after ten minutes. */
constexpr std::size_t RememberedTokens = 10000;

bool sameCondition(const RowCondition &left, const RowCondition &right)
{
    if (left.index() != right.index()) {
        return false;
    }
    const auto *equals = std::get_if<AttributeEquals>(&left);
    if (equals == nullptr) {
        return true;
    }
    const auto &other = std::get<AttributeEquals>(right);
    return equals->attribute == other.attribute && equals->value == other.value;
}

bool sameOperation(const TableOperation &left, const TableOperation &right)
{
    if (left.index() != right.index()) {
        return false;
    }
    const auto *put = std::get_if<PutRow>(&left);
    if (put != nullptr && put->row != std::get<PutRow>(right).row) {
        return false;
    }
    return std::visit(
        [](const auto &first, const auto &second) {
            return first.key == second.key && sameCondition(first.condition, second.condition);
        },
        left,
        right);
}

const RowKey &keyOf(const TableOperation &operation)
{
    return std::visit(
        [](const auto &it) -> const RowKey & {
            return it.key;
        },
        operation);
}

const RowCondition &conditionOf(const TableOperation &operation)
{
    return std::visit(
        [](const auto &it) -> const RowCondition & {
            return it.condition;
        },
        operation);
}

} // namespace

std::optional<std::string> transactionProblem(const std::vector<TableOperation> &operations, const std::string &token)
{
    if (operations.empty() || operations.size() > TableService::MaximumOperations) {
        return fmt::format("a transaction has 1 to {} operations, not {}", TableService::MaximumOperations, operations.size());
    }
    if (token.empty()) {
        return "a transaction needs a token";
    }
    std::set<RowKey> keys;
    for (const auto &it : operations) {
        const RowKey &key = keyOf(it);
        if (key.partition.empty() || key.sort.empty()) {
            return "a row key must not be empty";
        }
        if (!keys.insert(key).second) {
            return fmt::format("two operations on the row {}/{}", key.partition, key.sort);
        }
    }
    return std::nullopt;
}

MemoryTableService::MemoryTableService(std::shared_ptr<FaultInjector> faults)
    : m_faults(std::move(faults))
{
}

Result<std::optional<Row>> MemoryTableService::get(const RowKey &key)
{
    if (const auto fault = m_faults->take("table.get"); fault != PlatformFault::None) {
        return tl::make_unexpected(FaultInjector::error(fault, "table.get"));
    }
    const std::lock_guard lock(m_mutex);
    const auto it = m_rows.find(key);
    return it == m_rows.end() ? std::optional<Row>() : it->second;
}

Result<std::vector<KeyedRow>>
MemoryTableService::query(const std::string &partition, const std::string &first, const std::string &last, std::size_t limit)
{
    if (const auto fault = m_faults->take("table.query"); fault != PlatformFault::None) {
        return tl::make_unexpected(FaultInjector::error(fault, "table.query"));
    }
    const std::lock_guard lock(m_mutex);
    std::vector<KeyedRow> rows;
    for (auto it = m_rows.lower_bound({ partition, first }); it != m_rows.end() && rows.size() < limit; ++it) {
        if (it->first.partition != partition || it->first.sort > last) {
            break;
        }
        rows.push_back({ it->first, it->second });
    }
    return rows;
}

Result<TransactionResult> MemoryTableService::transact(const std::vector<TableOperation> &operations, const std::string &token)
{
    constexpr const char *Step = "table.transact";
    if (const auto problem = transactionProblem(operations, token)) {
        return failure(ErrorKind::InvalidInput, Step, *problem, "memory");
    }
    const PlatformFault fault = m_faults->take(Step);
    if (fault == PlatformFault::Unavailable || fault == PlatformFault::Timeout) {
        return tl::make_unexpected(FaultInjector::error(fault, Step));
    }
    auto result = apply(operations, token);
    if (fault == PlatformFault::LostAnswer) {
        return tl::make_unexpected(FaultInjector::error(fault, Step));
    }
    return result;
}

bool MemoryTableService::holds(const RowKey &key, const RowCondition &condition) const
{
    const auto row = m_rows.find(key);
    if (std::holds_alternative<RowAbsent>(condition)) {
        return row == m_rows.end();
    }
    if (const auto *equals = std::get_if<AttributeEquals>(&condition)) {
        if (row == m_rows.end()) {
            return false;
        }
        const auto attribute = row->second.find(equals->attribute);
        return attribute != row->second.end() && attribute->second == equals->value;
    }
    return true;
}

Result<TransactionResult> MemoryTableService::apply(const std::vector<TableOperation> &operations, const std::string &token)
{
    const std::lock_guard lock(m_mutex);
    if (const auto it = m_applied.find(token); it != m_applied.end()) {
        if (!std::equal(operations.begin(), operations.end(), it->second.operations.begin(), it->second.operations.end(), sameOperation)) {
            return failure(ErrorKind::InvalidInput, "table.transact", "the token was used for another transaction", "memory");
        }
        return it->second.result;
    }
    TransactionResult result;
    for (std::size_t n = 0; n < operations.size(); ++n) {
        if (!holds(keyOf(operations[n]), conditionOf(operations[n]))) {
            result.failedConditions.push_back(n);
        }
    }
    if (!result.failedConditions.empty()) {
        return result;
    }
    for (const auto &it : operations) {
        if (const auto *put = std::get_if<PutRow>(&it)) {
            m_rows[put->key] = put->row;
        } else if (const auto *removal = std::get_if<DeleteRow>(&it)) {
            m_rows.erase(removal->key);
        }
    }
    result.committed = true;
    remember(token, operations, result);
    return result;
}

void MemoryTableService::remember(const std::string &token, const std::vector<TableOperation> &operations, const TransactionResult &result)
{
    m_applied[token] = { operations, result };
    m_tokens.push_back(token);
    if (m_tokens.size() > RememberedTokens) {
        m_applied.erase(m_tokens.front());
        m_tokens.pop_front();
    }
}

} // namespace Pimentohollow
