#pragma once

#include "storage/interfaces/tableservice.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <string>

namespace Pimentohollow
{

/*
 * The JSON of the published DynamoDB protocol, as far as TableService needs it. Used by the client and by the stand-in.
 */

/** Attributes that hold the row key; rows can't use these names themselves. */
inline constexpr const char *PartitionAttribute = "pk";
inline constexpr const char *SortAttribute = "sk";

/** Strings are S; those that aren't printable UTF-8 are B in base64; numbers are N. */
Poco::JSON::Object::Ptr writeAttribute(const AttributeValue &value);
Result<AttributeValue> parseAttribute(const Poco::Dynamic::Var &attribute);

Poco::JSON::Object::Ptr writeKey(const RowKey &key);
Poco::JSON::Object::Ptr writeItem(const KeyedRow &row);
Result<KeyedRow> parseItem(const Poco::JSON::Object &item);

std::string writeGetItem(const std::string &table, const RowKey &key);

/** @param start the last key of the page before; empty partition for the first page */
std::string writeQuery(const std::string &table,
                       const std::string &partition,
                       const std::string &first,
                       const std::string &last,
                       std::size_t limit,
                       const RowKey &start);

/** @param token is shortened by hashing if it is longer than the 36 characters that the protocol allows */
std::string writeTransaction(const std::string &table, const std::vector<TableOperation> &operations, const std::string &token);

/** One page of a query; @p next has an empty partition after the last page. */
struct QueryPage {
    std::vector<KeyedRow> rows;
    RowKey next;
};

Result<std::optional<Row>> parseGetItem(const std::string &body);
Result<QueryPage> parseQueryPage(const std::string &body);

/** The error of a table service's answer. */
struct TableFault {
    /** Without the namespace before '#'. */
    std::string type;
    std::string message;
    /** For a cancelled transaction: the code of each operation. */
    std::vector<std::string> reasons;
};

TableFault parseTableFault(const std::string &body);

/** Parses a JSON object of bounded depth; null if the text isn't one. */
Poco::JSON::Object::Ptr parseJsonObject(const std::string &text);

std::string jsonText(const Poco::JSON::Object &object);

} // namespace Pimentohollow
