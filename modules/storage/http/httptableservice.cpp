#include "storage/http/httptableservice.h"

#include "storage/http/tablecodec.h"
#include "storage/memory/memorytableservice.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace Pimentohollow
{

namespace
{

constexpr int StatusOk = 200;
constexpr int FirstServerError = 500;

struct FaultKind {
    std::string_view type;
    ErrorKind kind;
};

/** Refusals that the service makes before it does anything. */
constexpr std::array<FaultKind, 13> FaultKinds{ {
    { "ThrottlingException", ErrorKind::Unavailable },
    { "ProvisionedThroughputExceededException", ErrorKind::Unavailable },
    { "RequestLimitExceeded", ErrorKind::Unavailable },
    { "AccessDeniedException", ErrorKind::Unauthorized },
    { "UnrecognizedClientException", ErrorKind::Unauthorized },
    { "InvalidSignatureException", ErrorKind::Unauthorized },
    { "IncompleteSignatureException", ErrorKind::Unauthorized },
    { "MissingAuthenticationTokenException", ErrorKind::Unauthorized },
    { "ValidationException", ErrorKind::InvalidInput },
    { "SerializationException", ErrorKind::InvalidInput },
    { "IdempotentParameterMismatchException", ErrorKind::InvalidInput },
    { "ResourceNotFoundException", ErrorKind::InvalidInput },
    { "TransactionInProgressException", ErrorKind::OutcomeUnknown },
} };

bool usesKeyAttribute(const TableOperation &operation)
{
    const auto *put = std::get_if<PutRow>(&operation);
    return put != nullptr && (put->row.contains(PartitionAttribute) || put->row.contains(SortAttribute));
}

PlatformCall makeCall(const std::string &step, const std::string &operation, const std::string &body, CallEffect effect)
{
    PlatformCall call;
    call.step = step;
    call.method = "POST";
    call.headers = { { "content-type", "application/x-amz-json-1.0" }, { "x-amz-target", "DynamoDB_20120810." + operation } };
    call.body = body;
    call.effect = effect;
    return call;
}

} // namespace

HttpTableService::HttpTableService(PlatformEndpoint endpoint, std::string table, const Clock &clock)
    : m_client(std::move(endpoint), "dynamodb", clock)
    , m_table(std::move(table))
{
}

Result<std::optional<Row>> HttpTableService::get(const RowKey &key)
{
    const auto answer = call("table.get", "GetItem", writeGetItem(m_table, key), CallEffect::Read);
    return answer ? parseGetItem(answer->body) : tl::make_unexpected(answer.error());
}

Result<std::vector<KeyedRow>>
HttpTableService::query(const std::string &partition, const std::string &first, const std::string &last, std::size_t limit)
{
    std::vector<KeyedRow> rows;
    if (first > last) {
        return rows;
    }
    RowKey start;
    while (rows.size() < limit) {
        const std::string request = writeQuery(m_table, partition, first, last, limit - rows.size(), start);
        const auto answer = call("table.query", "Query", request, CallEffect::Read);
        if (!answer) {
            return tl::make_unexpected(answer.error());
        }
        auto page = parseQueryPage(answer->body);
        if (!page) {
            return tl::make_unexpected(page.error());
        }
        std::move(page->rows.begin(), page->rows.end(), std::back_inserter(rows));
        start = page->next;
        if (start.partition.empty()) {
            break;
        }
    }
    return rows;
}

Result<TransactionResult> HttpTableService::transact(const std::vector<TableOperation> &operations, const std::string &token)
{
    constexpr const char *Step = "table.transact";
    if (const auto problem = transactionProblem(operations, token)) {
        return failure(ErrorKind::InvalidInput, Step, *problem, m_client.peer());
    }
    if (std::any_of(operations.begin(), operations.end(), usesKeyAttribute)) {
        return failure(ErrorKind::InvalidInput, Step, "a row uses the name of a key attribute", m_client.peer());
    }
    const auto answer =
        m_client.send(makeCall(Step, "TransactWriteItems", writeTransaction(m_table, operations, token), CallEffect::Write));
    if (!answer) {
        return tl::make_unexpected(answer.error());
    }
    if (answer->status == StatusOk) {
        return TransactionResult{ true, {} };
    }
    const TableFault fault = parseTableFault(answer->body);
    TransactionResult cancelled;
    for (std::size_t n = 0; n < fault.reasons.size(); ++n) {
        if (fault.reasons[n] == "ConditionalCheckFailed") {
            cancelled.failedConditions.push_back(n);
        }
    }
    if (fault.type == "TransactionCanceledException" && !cancelled.failedConditions.empty()) {
        return cancelled;
    }
    return tl::make_unexpected(faultError(Step, *answer, CallEffect::Write));
}

Result<PlatformAnswer>
HttpTableService::call(const std::string &step, const std::string &operation, const std::string &body, CallEffect effect)
{
    auto answer = m_client.send(makeCall(step, operation, body, effect));
    if (answer && answer->status != StatusOk) {
        return tl::make_unexpected(faultError(step, *answer, effect));
    }
    return answer;
}

Error HttpTableService::faultError(const std::string &step, const PlatformAnswer &answer, CallEffect effect) const
{
    const TableFault fault = parseTableFault(answer.body);
    const std::string message = fmt::format("status {}: {} {}", answer.status, fault.type, fault.message);
    const bool conflict = std::find(fault.reasons.begin(), fault.reasons.end(), "TransactionConflict") != fault.reasons.end();
    const bool throttled = std::find(fault.reasons.begin(), fault.reasons.end(), "ThrottlingError") != fault.reasons.end();
    if (fault.type == "TransactionCanceledException") {
        // A cancelled transaction wrote nothing; a passing reason is worth another attempt.
        return { conflict || throttled ? ErrorKind::Unavailable : ErrorKind::InvalidInput, step, m_client.peer(), message };
    }
    for (const auto &it : FaultKinds) {
        if (it.type == fault.type) {
            return { it.kind, step, m_client.peer(), message };
        }
    }
    if (effect == CallEffect::Write) {
        return { ErrorKind::OutcomeUnknown, step, m_client.peer(), message };
    }
    const ErrorKind kind = answer.status >= FirstServerError ? ErrorKind::Unavailable : ErrorKind::InvalidInput;
    return { kind, step, m_client.peer(), message };
}

} // namespace Pimentohollow
