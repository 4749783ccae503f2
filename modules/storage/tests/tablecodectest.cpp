#include "storage/http/tablecodec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Pimentohollow;

// Guards against bytes that JSON changes, such as control characters and broken UTF-8.
RC_GTEST_PROP(TableCodecProperty, AttributesReadBackUnchanged, (const std::string &text, std::int64_t number))
{
    for (const AttributeValue &it : { AttributeValue(text), AttributeValue(number) }) {
        Poco::JSON::Object object;
        object.set("a", writeAttribute(it));
        const auto back = parseJsonObject(jsonText(object));
        RC_ASSERT(parseAttribute(back->get("a")) == it);
    }
}

// Guards against crashes on answers that aren't what the protocol promises.
RC_GTEST_PROP(TableCodecProperty, ParsersNeverCrash, (const std::string &noise))
{
    std::string answer = R"({"Items":[{"pk":{"S":"p"},"sk":{"S":"1"},"n":{"N":"7"},"b":{"B":"AP8B"}}],"LastEvaluatedKey":{"pk":{"S":"p"},)"
                         R"("sk":{"S":"1"}},"__type":"x#TransactionCanceledException","CancellationReasons":[{"Code":"None"}]})";
    for (const char it : noise) {
        answer[static_cast<unsigned char>(it) % answer.size()] = it;
    }
    for (const auto &it : { answer, noise }) {
        parseGetItem(it);
        parseQueryPage(it);
        parseTableFault(it);
    }
}

// Guards against a type that parses to the wrong fault and so to the wrong decision about what was written.
TEST(TableCodecTest, ReadsCancellationReasons)
{
    const auto fault = parseTableFault(R"({"__type":"com.amazonaws.dynamodb.v20120810#TransactionCanceledException","Message":"m",)"
                                       R"("CancellationReasons":[{"Code":"None"},{"Code":"ConditionalCheckFailed"}]})");
    EXPECT_EQ(fault.type, "TransactionCanceledException");
    EXPECT_EQ(fault.message, "m");
    EXPECT_EQ(fault.reasons, (std::vector<std::string>{ "None", "ConditionalCheckFailed" }));
}
