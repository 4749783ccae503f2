#include "control/commandresult.h"

#include "parsing/scalars.h"

#include <fmt/format.h>

namespace Pimentohollow
{

namespace
{

ExitCode codeOf(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::Unavailable:
    case ErrorKind::Timeout:
        // Writes report a timeout as an unknown outcome, so that this one comes from a read.
        return ExitCode::PlatformUnavailable;
    case ErrorKind::OutcomeUnknown:
        return ExitCode::OutcomeUnknown;
    case ErrorKind::Conflict:
        return ExitCode::Conflict;
    default:
        return ExitCode::HasFindings;
    }
}

} // namespace

CommandResult usageResult(const std::string &message)
{
    CommandResult result;
    result.code = ExitCode::Usage;
    result.failed = true;
    result.text = message + "\n";
    result.json->set("error", message);
    return result;
}

CommandResult findingsResult(const Findings &findings)
{
    CommandResult result;
    result.code = ExitCode::HasFindings;
    result.failed = true;
    result.text = describe(findings);
    Poco::JSON::Array::Ptr list = Poco::makeShared<Poco::JSON::Array>();
    for (const auto &it : findings) {
        Poco::JSON::Object::Ptr finding = Poco::makeShared<Poco::JSON::Object>(Poco::JSON_PRESERVE_KEY_ORDER);
        finding->set("file", it.file);
        finding->set("line", it.line);
        finding->set("field", it.field);
        finding->set("message", it.message);
        list->add(finding);
    }
    result.json->set("findings", list);
    return result;
}

CommandResult errorResult(const Error &error)
{
    CommandResult result;
    result.code = codeOf(error.kind);
    result.failed = true;
    result.text = error.describe() + "\n";
    result.json->set("error", error.describe());
    result.json->set("kind", std::string(ErrorKindNames.name(error.kind)));
    return result;
}

CommandResult conflictResult(const ApplyOutcome &outcome)
{
    CommandResult result;
    result.code = ExitCode::Conflict;
    result.failed = true;
    result.text = fmt::format("conflict: version {} was made by another change; nothing of this one was written\n", outcome.version);
    result.json->set("conflict", true);
    result.json->set("version", outcome.version);
    if (outcome.winner) {
        const FleetChange &winner = *outcome.winner;
        result.text += fmt::format("  by {} at {}: {}\n", winner.author, formatTime(winner.time), winner.reason);
        for (const auto &it : winner.describe()) {
            result.text += "  " + it + "\n";
        }
        result.json->set("author", winner.author);
        result.json->set("time", formatTime(winner.time));
        result.json->set("reason", winner.reason);
        result.json->set("changes", jsonList(winner.describe()));
    }
    result.text += "run diff again and decide anew\n";
    return result;
}

Poco::JSON::Array::Ptr jsonList(const std::vector<std::string> &lines)
{
    Poco::JSON::Array::Ptr list = Poco::makeShared<Poco::JSON::Array>();
    for (const auto &it : lines) {
        list->add(it);
    }
    return list;
}

} // namespace Pimentohollow
