#include "control/commands/nodedraincommand.h"

#include "control/controlsession.h"

namespace Pimentohollow
{

std::vector<std::string> NodeDrainCommand::words() const
{
    return { "node", "drain" };
}

std::string NodeDrainCommand::summary() const
{
    return "Stops new work at a node, or allows it again";
}

std::string NodeDrainCommand::pattern() const
{
    return "[options] NODE";
}

std::string NodeDrainCommand::help() const
{
    return R"(  --reason=TEXT      Why, for the audit log; mandatory.
  --author=NAME      Operator; else $PIMENTOHOLLOW_AUTHOR, else $USER.
  --undo             Allow new work again; also undoes 'node remove'.

The node refuses new work at once and finishes what it has; the others learn it with the new version.
)";
}

CommandResult NodeDrainCommand::run(const Arguments &arguments, ControlContext &context) const
{
    const NodeName node(textArgument(arguments, "NODE"));
    if (const std::string problem = nameProblem(node.text()); !problem.empty()) {
        return usageResult("NODE " + problem);
    }
    const auto session = ControlSession::open(arguments, context);
    if (!session) {
        return session.error();
    }
    const auto undo = arguments.find("--undo");
    const bool isUndo = undo != arguments.end() && undo->second.isBool() && undo->second.asBool();
    return (*session)->applyEdit(
        [&](FleetConfiguration &fleet) -> std::optional<CommandResult> {
            if (!isUndo) {
                fleet.upsert(DrainEntity{ node, DrainMode::Drain, textArgument(arguments, "--reason"), std::nullopt });
                return std::nullopt;
            }
            if (fleet.drains.erase(node) == 0) {
                return findingsResult({ { "fleet", 0, "drain", "node '" + node.text() + "' is not drained" } });
            }
            return std::nullopt;
        },
        arguments,
        context);
}

} // namespace Pimentohollow
