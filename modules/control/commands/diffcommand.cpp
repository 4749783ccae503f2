#include "control/commands/diffcommand.h"

#include "control/controlsession.h"

#include <fmt/format.h>

namespace Pimentohollow
{

std::vector<std::string> DiffCommand::words() const
{
    return { "diff" };
}

std::string DiffCommand::summary() const
{
    return "Shows what applying a fleet document would change";
}

std::string DiffCommand::pattern() const
{
    return "[options] FILE";
}

std::string DiffCommand::help() const
{
    return R"(
Exits with 1 if there are differences. Keys and drains are managed by 'key' and 'node' and never differ here.
)";
}

CommandResult DiffCommand::run(const Arguments &arguments, ControlContext &context) const
{
    const auto target = loadFleet(textArgument(arguments, "FILE"));
    if (!target) {
        return findingsResult(target.error());
    }
    const auto session = ControlSession::open(arguments, context);
    if (!session) {
        return session.error();
    }
    const auto base = (*session)->store().load();
    if (!base) {
        return errorResult(base.error());
    }
    const FleetChange change = diffFleets(base->fleet, withManagedEntities(*target, base->fleet));
    CommandResult result;
    result.code = change.empty() ? ExitCode::Ok : ExitCode::HasFindings;
    result.text = fmt::format("against version {}: {} changes\n", base->version, change.describe().size());
    for (const auto &it : change.describe()) {
        result.text += it + "\n";
    }
    result.json->set("version", base->version);
    result.json->set("changes", jsonList(change.describe()));
    return result;
}

} // namespace Pimentohollow
