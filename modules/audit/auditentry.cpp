#include "audit/auditentry.h"

#include <fmt/format.h>
#include <iterator>
#include <openssl/sha.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <sstream>

namespace Pimentohollow
{

namespace
{

constexpr std::size_t MaximumJsonDepth = 4;

void appendField(std::string &text, const std::string &value)
{
    fmt::format_to(std::back_inserter(text), "{}:{}\n", value.size(), value);
}

} // namespace

std::string entryHash(const AuditEntry &entry)
{
    std::string text = fmt::format("{}\n", entry.version);
    appendField(text, entry.author);
    appendField(text, entry.time);
    appendField(text, entry.changeId);
    appendField(text, entry.reason);
    fmt::format_to(std::back_inserter(text), "{}\n", entry.changes.size());
    for (const auto &it : entry.changes) {
        appendField(text, it);
    }
    appendField(text, entry.previousHash);

    std::string digest(SHA256_DIGEST_LENGTH, '\0');
    const auto *bytes = reinterpret_cast<const unsigned char *>(text.data());
    SHA256(bytes, text.size(), reinterpret_cast<unsigned char *>(digest.data()));
    std::string hash;
    for (const char it : digest) {
        hash += fmt::format("{:02x}", static_cast<unsigned char>(it));
    }
    return hash;
}

AuditEntry sealEntry(AuditEntry entry, const std::string &previousHash)
{
    entry.previousHash = previousHash;
    entry.hash = entryHash(entry);
    return entry;
}

std::string writeEntry(const AuditEntry &entry)
{
    Poco::JSON::Array::Ptr changes = Poco::makeShared<Poco::JSON::Array>();
    for (const auto &it : entry.changes) {
        changes->add(it);
    }
    Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    object.set("version", entry.version);
    object.set("time", entry.time);
    object.set("author", entry.author);
    object.set("reason", entry.reason);
    object.set("changes", changes);
    object.set("change_id", entry.changeId);
    object.set("previous_hash", entry.previousHash);
    object.set("hash", entry.hash);
    std::ostringstream stream;
    object.stringify(stream);
    return stream.str();
}

Result<AuditEntry> parseEntry(const std::string &text)
{
    try {
        Poco::JSON::Parser parser;
        parser.setDepth(MaximumJsonDepth);
        const auto object = parser.parse(text).extract<Poco::JSON::Object::Ptr>();
        AuditEntry entry;
        entry.version = object->getValue<std::uint64_t>("version");
        entry.time = object->getValue<std::string>("time");
        entry.author = object->getValue<std::string>("author");
        entry.reason = object->getValue<std::string>("reason");
        entry.changeId = object->getValue<std::string>("change_id");
        entry.previousHash = object->getValue<std::string>("previous_hash");
        entry.hash = object->getValue<std::string>("hash");
        const auto changes = object->getArray("changes");
        for (std::size_t n = 0; changes && n < changes->size(); ++n) {
            entry.changes.push_back(changes->getElement<std::string>(static_cast<unsigned>(n)));
        }
        return entry;
    } catch (const Poco::Exception &) {
        return failure(ErrorKind::InvalidInput, "audit.parse", "not a JSON object of an audit entry");
    }
}

} // namespace Pimentohollow
