#include "control/commands/auditexportcommand.h"

#include "control/controlsession.h"

namespace Pimentohollow
{

std::vector<std::string> AuditExportCommand::words() const
{
    return { "audit", "export" };
}

std::string AuditExportCommand::summary() const
{
    return "Prints the audit log as JSON lines";
}

std::string AuditExportCommand::pattern() const
{
    return "[options]";
}

std::string AuditExportCommand::help() const
{
    return R"(  --from=VERSION     First version [default: 1].
  --to=VERSION       Last version; the newest if not given.

Prints one JSON object per line; keep it where the operators of the platform can't write.
)";
}

CommandResult AuditExportCommand::run(const Arguments &arguments, ControlContext &context) const
{
    const auto session = ControlSession::open(arguments, context);
    if (!session) {
        return session.error();
    }
    const auto head = (*session)->store().head();
    if (!head) {
        return errorResult(head.error());
    }
    const auto first = numberArgument(arguments, "--from", 1);
    const auto last = numberArgument(arguments, "--to", head->version);
    if (!first || *first == 0 || !last) {
        return usageResult("--from and --to must be version numbers from 1");
    }
    const auto entries = (*session)->store().auditEntries(*first - 1, *last);
    if (!entries) {
        return errorResult(entries.error());
    }
    CommandResult result;
    result.text = AuditChain(*entries).exportLines();
    std::vector<std::string> lines;
    for (const auto &it : *entries) {
        lines.push_back(writeEntry(it));
    }
    result.json->set("version", head->version);
    result.json->set("lines", jsonList(lines));
    return result;
}

} // namespace Pimentohollow
