#include "keys/withdrawal.h"

#include "keys/keydigest.h"

#include <fmt/format.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <sstream>

namespace Pimentohollow
{

namespace
{

constexpr const char *ParseStep = "withdrawal.parse";
/** A withdrawal is well below this; the bound keeps a hostile body from reaching the parser. */
constexpr std::size_t MaximumTextBytes = 8192;
constexpr std::size_t MaximumJsonDepth = 4;

/** The signed text. Lengths precede the values, so that no two withdrawals share a text; keys never start like this. */
std::string signedText(const Withdrawal &withdrawal)
{
    const auto field = [](const std::string &value) {
        return fmt::format("{}:{}", value.size(), value);
    };
    return fmt::format("pimentohollow-withdrawal\n{}\n{}\n{}\n{}",
                       field(withdrawal.key.text()),
                       field(withdrawal.author),
                       field(withdrawal.reason),
                       withdrawal.time);
}

} // namespace

SignedWithdrawal signWithdrawal(std::string_view pepper, const Withdrawal &withdrawal)
{
    return { withdrawal, digestText(keyDigest(pepper, signedText(withdrawal))) };
}

bool verifyWithdrawal(std::string_view pepper, const SignedWithdrawal &withdrawal)
{
    const auto signature = parseDigest(withdrawal.signature);
    return signature && sameDigest(*signature, keyDigest(pepper, signedText(withdrawal.withdrawal)));
}

std::string writeWithdrawal(const SignedWithdrawal &withdrawal)
{
    Poco::JSON::Object object;
    object.set("key", withdrawal.withdrawal.key.text());
    object.set("author", withdrawal.withdrawal.author);
    object.set("reason", withdrawal.withdrawal.reason);
    object.set("time", withdrawal.withdrawal.time);
    object.set("signature", withdrawal.signature);
    std::ostringstream stream;
    object.stringify(stream);
    return stream.str();
}

Result<SignedWithdrawal> parseWithdrawal(const std::string &text)
{
    if (text.size() > MaximumTextBytes) {
        return failure(ErrorKind::InvalidInput, ParseStep, fmt::format("the body is larger than {} bytes", MaximumTextBytes));
    }
    try {
        Poco::JSON::Parser parser;
        parser.setDepth(MaximumJsonDepth);
        const auto object = parser.parse(text).extract<Poco::JSON::Object::Ptr>();
        SignedWithdrawal result;
        result.withdrawal.key = KeyId(object->getValue<std::string>("key"));
        result.withdrawal.author = object->getValue<std::string>("author");
        result.withdrawal.reason = object->getValue<std::string>("reason");
        result.withdrawal.time = object->getValue<std::int64_t>("time");
        result.signature = object->getValue<std::string>("signature");
        if (result.withdrawal.key.empty() || result.withdrawal.author.empty() || result.withdrawal.reason.empty()) {
            return failure(ErrorKind::InvalidInput, ParseStep, "key, author and reason must not be empty");
        }
        return result;
    } catch (const Poco::Exception &exception) {
        return failure(ErrorKind::InvalidInput, ParseStep, "not a JSON object with key, author, reason, time and signature");
    }
}

} // namespace Pimentohollow
