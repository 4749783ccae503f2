#include "control/commands/validatecommand.h"

#include "control/controlsession.h"

namespace Pimentohollow
{

namespace
{

template <typename T>
Findings findingsOf(const Parsed<T> &parsed)
{
    return parsed ? Findings() : parsed.error();
}

} // namespace

std::vector<std::string> ValidateCommand::words() const
{
    return { "validate" };
}

std::string ValidateCommand::summary() const
{
    return "Checks a document without the platform";
}

std::string ValidateCommand::pattern() const
{
    return "[options] FILE";
}

std::string ValidateCommand::help() const
{
    return R"(  --kind=KIND        fleet, node or operator [default: fleet].

Checks a fleet document, the settings of a node or those of an operator. Secrets that settings name are read, too.
)";
}

CommandResult ValidateCommand::run(const Arguments &arguments, ControlContext &context) const
{
    const std::string kind = textArgument(arguments, "--kind");
    const std::string file = textArgument(arguments, "FILE");
    Findings findings;
    if (kind == "fleet") {
        findings = findingsOf(loadFleet(file));
    } else if (kind == "node") {
        findings = findingsOf(loadNodeSettings(file));
    } else if (kind == "operator") {
        findings = findingsOf(context.loadSettings(file));
    } else {
        return usageResult("--kind must be fleet, node or operator");
    }
    if (!findings.empty()) {
        return findingsResult(findings);
    }
    CommandResult result;
    result.text = file + ": valid\n";
    result.json->set("findings", jsonList({}));
    return result;
}

} // namespace Pimentohollow
