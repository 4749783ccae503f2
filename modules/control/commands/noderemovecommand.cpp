#include "control/commands/noderemovecommand.h"

#include "control/controlsession.h"

namespace Pimentohollow
{

std::vector<std::string> NodeRemoveCommand::words() const
{
    return { "node", "remove" };
}

std::string NodeRemoveCommand::summary() const
{
    return "States that the VM of a node is gone";
}

std::string NodeRemoveCommand::pattern() const
{
    return "[options] NODE";
}

std::string NodeRemoveCommand::help() const
{
    return R"(  --reason=TEXT      Why, for the audit log; mandatory.
  --author=NAME      Operator; else $PIMENTOHOLLOW_AUTHOR, else $USER.
  --incarnation=N    Only up to this incarnation, so that a replacement with the same name isn't affected.

Say this only when the VM is gone for certain: its quota shares are given to other nodes at once.
)";
}

CommandResult NodeRemoveCommand::run(const Arguments &arguments, ControlContext &context) const
{
    const NodeName node(textArgument(arguments, "NODE"));
    if (const std::string problem = nameProblem(node.text()); !problem.empty()) {
        return usageResult("NODE " + problem);
    }
    const auto incarnation = numberArgument(arguments, "--incarnation", 0);
    if (!incarnation) {
        return usageResult("--incarnation must be a number");
    }
    const auto session = ControlSession::open(arguments, context);
    if (!session) {
        return session.error();
    }
    return (*session)->applyEdit(
        [&](FleetConfiguration &fleet) -> std::optional<CommandResult> {
            const bool all = textArgument(arguments, "--incarnation").empty();
            const auto limit = all ? std::optional<std::uint64_t>() : *incarnation;
            fleet.upsert(DrainEntity{ node, DrainMode::Removed, textArgument(arguments, "--reason"), limit });
            return std::nullopt;
        },
        arguments,
        context);
}

} // namespace Pimentohollow
