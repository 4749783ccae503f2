#include "control/commands/applycommand.h"

#include "control/controlsession.h"

#include <fmt/format.h>

namespace Pimentohollow
{

namespace
{

/** The conflict of a change that was prepared on an older version. */
CommandResult newerVersion(ControlSession &session, std::uint64_t expected, std::uint64_t current)
{
    if (expected > current) {
        return usageResult(fmt::format("--base is {}, but the newest version is {}", expected, current));
    }
    const auto changes = session.store().changes(expected, current, 1);
    if (!changes) {
        return errorResult(changes.error());
    }
    return conflictResult({ false, expected + 1, changes->front() });
}

} // namespace

std::vector<std::string> ApplyCommand::words() const
{
    return { "apply" };
}

std::string ApplyCommand::summary() const
{
    return "Applies a fleet document as the next version";
}

std::string ApplyCommand::pattern() const
{
    return "[options] FILE";
}

std::string ApplyCommand::help() const
{
    return R"(  --reason=TEXT      Why, for the audit log; mandatory.
  --author=NAME      Operator; else $PIMENTOHOLLOW_AUTHOR, else $USER.
  --base=VERSION     Only if this version is still in force, as shown by diff.

The whole change takes effect or nothing does. If another operator is faster, nothing is written and the exit code is 3.
)";
}

CommandResult ApplyCommand::run(const Arguments &arguments, ControlContext &context) const
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
    const auto expected = numberArgument(arguments, "--base", base->version);
    if (!expected) {
        return usageResult("--base must be a version number");
    }
    const FleetChange difference = diffFleets(base->fleet, withManagedEntities(*target, base->fleet));
    const auto change = (*session)->record(difference, base->version, arguments, context);
    if (!change) {
        return change.error();
    }
    if (*expected != base->version) {
        return newerVersion(**session, *expected, base->version);
    }
    if (difference.empty()) {
        CommandResult result;
        result.text = fmt::format("version {} already is as the document says\n", base->version);
        result.json->set("version", base->version);
        result.json->set("changes", jsonList({}));
        return result;
    }
    return (*session)->apply(*base, *change);
}

} // namespace Pimentohollow
