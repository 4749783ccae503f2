#pragma once

#include "storage/interfaces/tableservice.h"
#include "storage/memory/faultinjector.h"

#include <deque>
#include <map>
#include <memory>
#include <mutex>

namespace Pimentohollow
{

/** TableService in the memory of the process, for tests and stand-ins. */
class MemoryTableService : public TableService
{
public:
    /** @param faults shared with the test that injects them */
    explicit MemoryTableService(std::shared_ptr<FaultInjector> faults = std::make_shared<FaultInjector>());

    Result<std::optional<Row>> get(const RowKey &key) override;
    Result<std::vector<KeyedRow>>
    query(const std::string &partition, const std::string &first, const std::string &last, std::size_t limit) override;
    Result<TransactionResult> transact(const std::vector<TableOperation> &operations, const std::string &token) override;

private:
    struct Applied {
        std::vector<TableOperation> operations;
        TransactionResult result;
    };

    bool holds(const RowKey &key, const RowCondition &condition) const;
    Result<TransactionResult> apply(const std::vector<TableOperation> &operations, const std::string &token);
    void remember(const std::string &token, const std::vector<TableOperation> &operations, const TransactionResult &result);

    std::shared_ptr<FaultInjector> m_faults;
    std::mutex m_mutex;
    std::map<RowKey, Row> m_rows;
    std::map<std::string, Applied> m_applied;
    std::deque<std::string> m_tokens;
};

/**
 * What every implementation refuses before it does anything: no or too many operations, two operations on one row,
 * empty keys, or an empty token. @return the fault, or nothing
 */
std::optional<std::string> transactionProblem(const std::vector<TableOperation> &operations, const std::string &token);

} // namespace Pimentohollow
