#pragma once

#include "storage/interfaces/tableservice.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Pimentohollow
{

/** Table service in memory that applies transactions whole, for tests and benchmarks. */
class FakeTable
{
public:
    std::optional<Row> get(const RowKey &key) const
    {
        const auto it = m_rows.find(key);
        return it == m_rows.end() ? std::nullopt : std::optional(it->second);
    }

    std::vector<KeyedRow> all(const std::string &partition) const
    {
        std::vector<KeyedRow> rows;
        for (const auto &[key, row] : m_rows) {
            if (key.partition == partition) {
                rows.push_back({ key, row });
            }
        }
        return rows;
    }

    TransactionResult transact(const std::vector<TableOperation> &operations)
    {
        TransactionResult result{ true, {} };
        for (std::size_t n = 0; n < operations.size(); ++n) {
            const auto ok = std::visit(
                [this](const auto &it) {
                    return holds(it.key, it.condition);
                },
                operations[n]);
            if (!ok) {
                result.committed = false;
                result.failedConditions.push_back(n);
            }
        }
        for (const auto &it : operations) {
            const auto *put = std::get_if<PutRow>(&it);
            if (result.committed && put != nullptr) {
                m_rows[put->key] = put->row;
            }
        }
        ++writes;
        return result;
    }

    std::uint64_t writes = 0;

private:
    bool holds(const RowKey &key, const RowCondition &condition) const
    {
        const auto row = get(key);
        if (std::holds_alternative<RowAbsent>(condition)) {
            return !row;
        }
        const auto *equals = std::get_if<AttributeEquals>(&condition);
        return equals == nullptr || (row && row->contains(equals->attribute) && row->at(equals->attribute) == equals->value);
    }

    std::map<RowKey, Row> m_rows;
};

} // namespace Pimentohollow
