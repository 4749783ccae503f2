#pragma once

#include "storage/http/platformclient.h"
#include "storage/interfaces/tableservice.h"

namespace Pimentohollow
{

/**
 * TableService over the published DynamoDB JSON protocol: GetItem with consistent reads, Query and TransactWriteItems.
 * The table has the string keys "pk" (partition) and "sk" (sort).
 */
class HttpTableService : public TableService
{
public:
    HttpTableService(PlatformEndpoint endpoint, std::string table, const Clock &clock);

    Result<std::optional<Row>> get(const RowKey &key) override;
    Result<std::vector<KeyedRow>>
    query(const std::string &partition, const std::string &first, const std::string &last, std::size_t limit) override;
    Result<TransactionResult> transact(const std::vector<TableOperation> &operations, const std::string &token) override;

private:
    Result<PlatformAnswer> call(const std::string &step, const std::string &operation, const std::string &body, CallEffect effect);
    Error faultError(const std::string &step, const PlatformAnswer &answer, CallEffect effect) const;

    PlatformClient m_client;
    std::string m_table;
};

} // namespace Pimentohollow
