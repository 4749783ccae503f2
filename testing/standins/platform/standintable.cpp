#include "standins/platform/standintable.h"

#include "storage/http/tablecodec.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

namespace Pimentohollow
{

namespace
{

using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr int StatusBadRequest = 400;

Result<RowKey> parseKey(const Object::Ptr &key)
{
    if (!key) {
        return failure(ErrorKind::InvalidInput, "standin", "the key is missing");
    }
    const auto item = parseItem(*key);
    return item ? Result<RowKey>(item->key) : tl::make_unexpected(item.error());
}

/** Understands the three expressions that the client sends. */
Result<RowCondition> parseCondition(const Object &operation)
{
    const auto text = operation.optValue<std::string>("ConditionExpression", "");
    if (text.empty() || text == "attribute_exists(pk) OR attribute_not_exists(pk)") {
        return RowCondition(NoCondition());
    }
    if (text == "attribute_not_exists(pk)") {
        return RowCondition(RowAbsent());
    }
    const auto names = operation.getObject("ExpressionAttributeNames");
    const auto values = operation.getObject("ExpressionAttributeValues");
    if (text != "#a = :v" || !names || !values) {
        return failure(ErrorKind::InvalidInput, "standin", "unknown condition expression: " + text);
    }
    const auto value = parseAttribute(values->get(":v"));
    if (!value) {
        return tl::make_unexpected(value.error());
    }
    return RowCondition(AttributeEquals{ names->getValue<std::string>("#a"), *value });
}

Result<TableOperation> parseOperation(const Object &wrapped)
{
    for (const char *kind : { "Put", "Delete", "ConditionCheck" }) {
        const auto operation = wrapped.getObject(kind);
        if (!operation) {
            continue;
        }
        const auto condition = parseCondition(*operation);
        if (!condition) {
            return tl::make_unexpected(condition.error());
        }
        if (operation->has("Item")) {
            const auto item = parseItem(*operation->getObject("Item"));
            return item ? Result<TableOperation>(PutRow{ item->key, item->row, *condition }) : tl::make_unexpected(item.error());
        }
        const auto key = parseKey(operation->getObject("Key"));
        if (!key) {
            return tl::make_unexpected(key.error());
        }
        if (std::string(kind) == "Delete") {
            return TableOperation(DeleteRow{ *key, *condition });
        }
        return TableOperation(CheckRow{ *key, *condition });
    }
    return failure(ErrorKind::InvalidInput, "standin", "unknown operation");
}

StandinAnswer cancelled(const TransactionResult &result, std::size_t operations)
{
    Array::Ptr reasons = Poco::makeShared<Array>();
    for (std::size_t n = 0; n < operations; ++n) {
        const bool failed = std::find(result.failedConditions.begin(), result.failedConditions.end(), n) != result.failedConditions.end();
        Object::Ptr reason = Poco::makeShared<Object>();
        reason->set("Code", failed ? "ConditionalCheckFailed" : "None");
        reasons->add(reason);
    }
    Object answer;
    answer.set("__type", "com.amazonaws.dynamodb.v20120810#TransactionCanceledException");
    answer.set("message", "Transaction cancelled");
    answer.set("CancellationReasons", reasons);
    return { StatusBadRequest, jsonText(answer) };
}

StandinAnswer getItem(TableService &table, const Object &request)
{
    const auto key = parseKey(request.getObject("Key"));
    if (!key || !request.optValue("ConsistentRead", false)) {
        return tableFault("ValidationException", "a key and ConsistentRead are required");
    }
    const auto row = table.get(*key);
    Object answer;
    if (row && *row) {
        answer.set("Item", writeItem({ *key, **row }));
    }
    return { 200, jsonText(answer) };
}

StandinAnswer queryRows(TableService &table, const Object &request)
{
    // Small pages make the client's paging part of every longer test.
    constexpr std::size_t PageRows = 3;
    const auto values = request.getObject("ExpressionAttributeValues");
    if (!values || request.optValue<std::string>("KeyConditionExpression", "") != "pk = :p AND sk BETWEEN :a AND :b") {
        return tableFault("ValidationException", "unknown key condition");
    }
    const auto partition = values->getObject(":p")->getValue<std::string>("S");
    const auto last = values->getObject(":b")->getValue<std::string>("S");
    auto first = values->getObject(":a")->getValue<std::string>("S");
    if (const auto start = request.getObject("ExclusiveStartKey")) {
        // The smallest text after the start key.
        first = parseItem(*start)->key.sort + '\0';
    }
    const std::size_t limit = std::min<std::size_t>(PageRows, request.getValue<std::size_t>("Limit"));
    const auto rows = table.query(partition, first, last, limit);
    Array::Ptr items = Poco::makeShared<Array>();
    for (const auto &it : *rows) {
        items->add(writeItem(it));
    }
    Object answer;
    answer.set("Items", items);
    if (rows->size() == limit) {
        answer.set("LastEvaluatedKey", writeKey(rows->back().key));
    }
    return { 200, jsonText(answer) };
}

StandinAnswer transactItems(TableService &table, const Object &request)
{
    const auto items = request.getArray("TransactItems");
    std::vector<TableOperation> operations;
    for (std::size_t n = 0; items && n < items->size(); ++n) {
        const auto item = items->getObject(static_cast<unsigned>(n));
        const auto operation = item ? parseOperation(*item) : failure(ErrorKind::InvalidInput, "standin", "not an object");
        if (!operation) {
            return tableFault("ValidationException", operation.error().message);
        }
        operations.push_back(*operation);
    }
    const auto result = table.transact(operations, request.getValue<std::string>("ClientRequestToken"));
    if (!result) {
        const bool reused = result.error().message.find("token was used") != std::string::npos;
        return tableFault(reused ? "IdempotentParameterMismatchException" : "ValidationException", result.error().message);
    }
    return result->committed ? StandinAnswer{ 200, "{}" } : cancelled(*result, operations.size());
}

} // namespace

StandinAnswer tableFault(const std::string &type, const std::string &message)
{
    Object answer;
    answer.set("__type", "com.amazonaws.dynamodb.v20120810#" + type);
    answer.set("message", message);
    return { StatusBadRequest, jsonText(answer) };
}

StandinAnswer executeTableRequest(TableService &table, const std::string &operation, const std::string &body)
{
    const auto request = parseJsonObject(body);
    if (!request) {
        return tableFault("SerializationException", "the body is no JSON object");
    }
    try {
        if (operation == "GetItem") {
            return getItem(table, *request);
        }
        if (operation == "Query") {
            return queryRows(table, *request);
        }
        if (operation == "TransactWriteItems") {
            return transactItems(table, *request);
        }
    } catch (const Poco::Exception &exception) {
        return tableFault("SerializationException", exception.displayText());
    }
    return tableFault("UnknownOperationException", operation);
}

} // namespace Pimentohollow
