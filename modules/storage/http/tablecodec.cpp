#include "storage/http/tablecodec.h"

#include "storage/http/requestsigner.h"

#include <algorithm>
#include <charconv>
#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/JSON/Parser.h>
#include <Poco/TextIterator.h>
#include <Poco/UTF8Encoding.h>
#include <sstream>

namespace Pimentohollow
{

namespace
{

using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr const char *ParseStep = "table.parse";
constexpr std::size_t MaximumJsonDepth = 16;
constexpr std::size_t MaximumTokenBytes = 36;

Object::Ptr makeObject()
{
    return Poco::makeShared<Object>();
}

/** True if the text survives JSON unchanged: valid UTF-8 without control characters. */
bool isPlainText(const std::string &text)
{
    const bool hasControl = std::any_of(text.begin(), text.end(), [](char it) {
        return static_cast<unsigned char>(it) < ' ';
    });
    if (hasControl) {
        return false;
    }
    static const Poco::UTF8Encoding Encoding;
    for (std::size_t n = 0; n < text.size();) {
        const auto *bytes = reinterpret_cast<const unsigned char *>(text.data() + n);
        const int length = Encoding.sequenceLength(bytes, 1);
        const bool fits = length > 0 && n + static_cast<std::size_t>(length) <= text.size();
        if (!fits || !Poco::UTF8Encoding::isLegal(bytes, length)) {
            return false;
        }
        n += static_cast<std::size_t>(length);
    }
    return true;
}

std::string base64(const std::string &bytes)
{
    std::ostringstream stream;
    Poco::Base64Encoder encoder(stream);
    encoder.rdbuf()->setLineLength(0);
    encoder << bytes;
    encoder.close();
    return stream.str();
}

std::string fromBase64(const std::string &text)
{
    std::istringstream stream(text);
    Poco::Base64Decoder decoder(stream);
    return { std::istreambuf_iterator<char>(decoder), std::istreambuf_iterator<char>() };
}

/** The condition as an expression with its names and values, added to one operation of a transaction. */
void addCondition(Object &operation, const RowCondition &condition, bool required)
{
    if (std::holds_alternative<RowAbsent>(condition)) {
        operation.set("ConditionExpression", std::string("attribute_not_exists(") + PartitionAttribute + ")");
    } else if (const auto *equals = std::get_if<AttributeEquals>(&condition)) {
        operation.set("ConditionExpression", "#a = :v");
        Object::Ptr names = makeObject();
        names->set("#a", equals->attribute);
        operation.set("ExpressionAttributeNames", names);
        Object::Ptr values = makeObject();
        values->set(":v", writeAttribute(equals->value));
        operation.set("ExpressionAttributeValues", values);
    } else if (required) {
        const std::string key = PartitionAttribute;
        operation.set("ConditionExpression", "attribute_exists(" + key + ") OR attribute_not_exists(" + key + ")");
    }
}

struct OperationWriter {
    const std::string &table;

    Object::Ptr operator()(const PutRow &put) const
    {
        Object::Ptr operation = makeObject();
        operation->set("TableName", table);
        operation->set("Item", writeItem({ put.key, put.row }));
        addCondition(*operation, put.condition, false);
        return wrap("Put", operation);
    }

    Object::Ptr operator()(const DeleteRow &removal) const
    {
        return wrap("Delete", keyed(removal.key, removal.condition, false));
    }

    Object::Ptr operator()(const CheckRow &check) const
    {
        return wrap("ConditionCheck", keyed(check.key, check.condition, true));
    }

private:
    Object::Ptr keyed(const RowKey &key, const RowCondition &condition, bool required) const
    {
        Object::Ptr operation = makeObject();
        operation->set("TableName", table);
        operation->set("Key", writeKey(key));
        addCondition(*operation, condition, required);
        return operation;
    }

    static Object::Ptr wrap(const char *kind, const Object::Ptr &operation)
    {
        Object::Ptr result = makeObject();
        result->set(kind, operation);
        return result;
    }
};

tl::unexpected<Error> malformed(const std::string &message)
{
    return failure(ErrorKind::Internal, ParseStep, message);
}

Result<AttributeValue> parseTypedValue(const Object &object)
{
    if (object.has("S")) {
        return AttributeValue(object.getValue<std::string>("S"));
    }
    if (object.has("B")) {
        return AttributeValue(fromBase64(object.getValue<std::string>("B")));
    }
    const std::string text = object.optValue<std::string>("N", "");
    std::int64_t number = 0;
    const auto [rest, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (ec != std::errc() || rest != text.data() + text.size()) {
        return malformed("an attribute is neither text, bytes nor a whole number");
    }
    return AttributeValue(number);
}

} // namespace

Object::Ptr writeAttribute(const AttributeValue &value)
{
    Object::Ptr attribute = makeObject();
    if (const auto *number = std::get_if<std::int64_t>(&value)) {
        attribute->set("N", std::to_string(*number));
        return attribute;
    }
    const auto &text = std::get<std::string>(value);
    if (isPlainText(text)) {
        attribute->set("S", text);
    } else {
        attribute->set("B", base64(text));
    }
    return attribute;
}

Result<AttributeValue> parseAttribute(const Poco::Dynamic::Var &attribute)
{
    if (attribute.type() != typeid(Object::Ptr)) {
        return malformed("an attribute is not an object");
    }
    const auto &object = attribute.extract<Object::Ptr>();
    try {
        return parseTypedValue(*object);
    } catch (const Poco::Exception &) {
        return malformed("an attribute holds a value of another type than it names");
    }
}

Object::Ptr writeKey(const RowKey &key)
{
    Object::Ptr object = makeObject();
    object->set(PartitionAttribute, writeAttribute(key.partition));
    object->set(SortAttribute, writeAttribute(key.sort));
    return object;
}

Object::Ptr writeItem(const KeyedRow &row)
{
    Object::Ptr object = writeKey(row.key);
    for (const auto &[name, value] : row.row) {
        object->set(name, writeAttribute(value));
    }
    return object;
}

Result<KeyedRow> parseItem(const Object &item)
{
    KeyedRow result;
    for (const auto &[name, attribute] : item) {
        auto value = parseAttribute(attribute);
        if (!value) {
            return tl::make_unexpected(value.error());
        }
        const auto *text = std::get_if<std::string>(&*value);
        if (name == PartitionAttribute && text != nullptr) {
            result.key.partition = *text;
        } else if (name == SortAttribute && text != nullptr) {
            result.key.sort = *text;
        } else {
            result.row[name] = std::move(*value);
        }
    }
    if (result.key.partition.empty() || result.key.sort.empty()) {
        return malformed("an item lacks its key");
    }
    return result;
}

std::string writeGetItem(const std::string &table, const RowKey &key)
{
    Object request;
    request.set("TableName", table);
    request.set("Key", writeKey(key));
    request.set("ConsistentRead", true);
    return jsonText(request);
}

std::string writeQuery(const std::string &table,
                       const std::string &partition,
                       const std::string &first,
                       const std::string &last,
                       std::size_t limit,
                       const RowKey &start)
{
    Object::Ptr values = makeObject();
    values->set(":p", writeAttribute(partition));
    values->set(":a", writeAttribute(first));
    values->set(":b", writeAttribute(last));
    Object request;
    request.set("TableName", table);
    request.set("KeyConditionExpression", "pk = :p AND sk BETWEEN :a AND :b");
    request.set("ExpressionAttributeValues", values);
    request.set("ConsistentRead", true);
    request.set("Limit", limit);
    if (!start.partition.empty()) {
        request.set("ExclusiveStartKey", writeKey(start));
    }
    return jsonText(request);
}

std::string writeTransaction(const std::string &table, const std::vector<TableOperation> &operations, const std::string &token)
{
    Array::Ptr items = Poco::makeShared<Array>();
    for (const auto &it : operations) {
        items->add(std::visit(OperationWriter{ table }, it));
    }
    const bool fits = token.size() <= MaximumTokenBytes;
    Object request;
    request.set("TransactItems", items);
    request.set("ClientRequestToken", fits ? token : RequestSigner::sha256Hex(token).substr(0, MaximumTokenBytes));
    return jsonText(request);
}

Result<std::optional<Row>> parseGetItem(const std::string &body)
{
    const Object::Ptr object = parseJsonObject(body);
    if (!object) {
        return malformed("the answer is no JSON object");
    }
    if (!object->isObject("Item")) {
        return std::optional<Row>();
    }
    auto item = parseItem(*object->getObject("Item"));
    if (!item) {
        return tl::make_unexpected(item.error());
    }
    return std::optional<Row>(std::move(item->row));
}

Result<QueryPage> parseQueryPage(const std::string &body)
{
    const Object::Ptr object = parseJsonObject(body);
    const Array::Ptr items = object ? object->getArray("Items") : Array::Ptr();
    if (!items) {
        return malformed("the answer has no items");
    }
    QueryPage page;
    for (std::size_t n = 0; n < items->size(); ++n) {
        const Object::Ptr item = items->getObject(static_cast<unsigned>(n));
        auto row = item ? parseItem(*item) : malformed("an item is not an object");
        if (!row) {
            return tl::make_unexpected(row.error());
        }
        page.rows.push_back(std::move(*row));
    }
    if (object->isObject("LastEvaluatedKey")) {
        const auto next = parseItem(*object->getObject("LastEvaluatedKey"));
        if (!next) {
            return tl::make_unexpected(next.error());
        }
        page.next = next->key;
    }
    return page;
}

TableFault parseTableFault(const std::string &body)
{
    TableFault fault;
    const Object::Ptr object = parseJsonObject(body);
    if (!object) {
        return fault;
    }
    try {
        const std::string type = object->optValue<std::string>("__type", "");
        fault.type = type.substr(type.find('#') == std::string::npos ? 0 : type.find('#') + 1);
        fault.message = object->optValue<std::string>("message", object->optValue<std::string>("Message", ""));
        const Array::Ptr reasons = object->getArray("CancellationReasons");
        for (std::size_t n = 0; reasons && n < reasons->size(); ++n) {
            const Object::Ptr reason = reasons->getObject(static_cast<unsigned>(n));
            fault.reasons.push_back(reason ? reason->optValue<std::string>("Code", "None") : "None");
        }
    } catch (const Poco::Exception &) {
        // The fields have other types than documented; what was read so far is enough to report the failure.
        return fault;
    }
    return fault;
}

Object::Ptr parseJsonObject(const std::string &text)
{
    try {
        Poco::JSON::Parser parser;
        parser.setDepth(MaximumJsonDepth);
        const auto value = parser.parse(text);
        return value.type() == typeid(Object::Ptr) ? value.extract<Object::Ptr>() : Object::Ptr();
    } catch (const std::exception &) {
        return {};
    }
}

std::string jsonText(const Object &object)
{
    std::ostringstream stream;
    object.stringify(stream);
    return stream.str();
}

} // namespace Pimentohollow
