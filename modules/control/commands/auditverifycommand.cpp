#include "control/commands/auditverifycommand.h"

#include "control/controlsession.h"

#include <fmt/format.h>
#include <fstream>
#include <map>

namespace Pimentohollow
{

namespace
{

/** Adds a finding for each exported entry that the table doesn't hold unchanged. */
std::optional<CommandResult>
compareWithExport(const std::string &file, const std::vector<AuditEntry> &entries, std::vector<AuditFinding> &findings)
{
    std::map<std::uint64_t, AuditEntry> stored;
    for (const auto &it : entries) {
        stored.emplace(it.version, it);
    }
    std::ifstream stream(file);
    if (!stream) {
        return findingsResult({ { file, 0, "", "the file can't be read" } });
    }
    std::string line;
    for (int number = 1; std::getline(stream, line); ++number) {
        const auto entry = parseEntry(line);
        if (!entry) {
            return findingsResult({ { file, number, "", "is no line of an export" } });
        }
        const auto it = stored.find(entry->version);
        if (it == stored.end()) {
            findings.push_back({ entry->version, fmt::format("entry {} is in the export but not in the table", entry->version) });
        } else if (it->second != *entry) {
            findings.push_back({ entry->version, fmt::format("entry {} differs from the export", entry->version) });
        }
    }
    return std::nullopt;
}

} // namespace

std::vector<std::string> AuditVerifyCommand::words() const
{
    return { "audit", "verify" };
}

std::string AuditVerifyCommand::summary() const
{
    return "Checks the hash chain of the audit log";
}

std::string AuditVerifyCommand::pattern() const
{
    return "[options]";
}

std::string AuditVerifyCommand::help() const
{
    return R"(  --against=FILE     An earlier export; entries that differ from it are found, too.

Names each entry that is missing, edited or out of order, and exits with 1 if there are any. An earlier export shows
a chain that was rewritten as a whole.
)";
}

CommandResult AuditVerifyCommand::run(const Arguments &arguments, ControlContext &context) const
{
    const auto session = ControlSession::open(arguments, context);
    if (!session) {
        return session.error();
    }
    const auto head = (*session)->store().head();
    if (!head) {
        return errorResult(head.error());
    }
    // Entries beyond the head are read, too, because nobody but an intruder writes them.
    const auto entries = (*session)->store().auditEntries(0, head->version + 1000);
    if (!entries) {
        return errorResult(entries.error());
    }
    auto findings = AuditChain(*entries).verify({ 0, "", head->version, head->auditHash });
    if (const std::string file = textArgument(arguments, "--against"); !file.empty()) {
        auto problem = compareWithExport(file, *entries, findings);
        if (problem) {
            return *problem;
        }
    }
    CommandResult result;
    result.code = findings.empty() ? ExitCode::Ok : ExitCode::HasFindings;
    Poco::JSON::Array::Ptr list = Poco::makeShared<Poco::JSON::Array>();
    for (const auto &it : findings) {
        result.text += it.message + "\n";
        Poco::JSON::Object::Ptr finding = Poco::makeShared<Poco::JSON::Object>(Poco::JSON_PRESERVE_KEY_ORDER);
        finding->set("version", it.version);
        finding->set("message", it.message);
        list->add(finding);
    }
    result.text += fmt::format("{} entries up to version {}: {} findings\n", entries->size(), head->version, findings.size());
    result.json->set("version", head->version);
    result.json->set("entries", entries->size());
    result.json->set("findings", list);
    return result;
}

} // namespace Pimentohollow
