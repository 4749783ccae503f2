#pragma once

#include "core/error.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Pimentohollow
{

/** Address of a row: rows of one partition are ordered by their sort key. */
struct RowKey {
    std::string partition;
    std::string sort;

    // clang-tidy 14 takes the literal 0 of the rewritten comparison for a pointer. NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const RowKey &) const = default;
};

using AttributeValue = std::variant<std::string, std::int64_t>;

/** A row's attributes besides its key. */
using Row = std::map<std::string, AttributeValue>;

struct KeyedRow {
    RowKey key;
    Row row;
};

/** Holds if the row doesn't exist. */
struct RowAbsent {
};

/** Holds if the row exists and its attribute equals the value. */
struct AttributeEquals {
    std::string attribute;
    AttributeValue value;
};

/** Always holds. */
struct NoCondition {
};

using RowCondition = std::variant<NoCondition, RowAbsent, AttributeEquals>;

/** Writes the whole row, replacing one that is there. */
struct PutRow {
    RowKey key;
    Row row;
    RowCondition condition;
};

struct DeleteRow {
    RowKey key;
    RowCondition condition;
};

/** Only checks a condition. */
struct CheckRow {
    RowKey key;
    RowCondition condition;
};

using TableOperation = std::variant<PutRow, DeleteRow, CheckRow>;

/** Result of a transaction that was answered: all operations took effect, or none did. */
struct TransactionResult {
    bool committed = false;
    /** For a transaction that wasn't committed: the operations whose conditions failed, by index. */
    std::vector<std::size_t> failedConditions;
};

/**
 * The transactional table service of the users' platform.
 *
 * Errors: Unavailable (nothing was written), Timeout and OutcomeUnknown (a write may have taken effect: read back
 * what was written before deciding), InvalidInput. Implementations may be called from several threads.
 * @see HttpTableService, MemoryTableService
 */
class TableService
{
public:
    /** Most operations in one transaction. */
    static constexpr std::size_t MaximumOperations = 100;

    virtual ~TableService() = default;

    /** Reads one row with strong consistency; nothing if there is none. */
    virtual Result<std::optional<Row>> get(const RowKey &key) = 0;

    /** Reads rows of a partition with sort keys in [@p first, @p last], in order, at most @p limit. */
    virtual Result<std::vector<KeyedRow>>
    query(const std::string &partition, const std::string &first, const std::string &last, std::size_t limit) = 0;

    /**
     * Applies all operations or none.
     * @param token unique per logical transaction; a repeat with the same token within some minutes has no further effect
     */
    virtual Result<TransactionResult> transact(const std::vector<TableOperation> &operations, const std::string &token) = 0;
};

} // namespace Pimentohollow
