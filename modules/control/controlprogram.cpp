#include "control/controlprogram.h"

#include "control/commands/applycommand.h"
#include "control/commands/auditexportcommand.h"
#include "control/commands/auditverifycommand.h"
#include "control/commands/diffcommand.h"
#include "control/commands/historycommand.h"
#include "control/commands/keyissuecommand.h"
#include "control/commands/keylistcommand.h"
#include "control/commands/keywithdrawcommand.h"
#include "control/commands/nodedraincommand.h"
#include "control/commands/noderemovecommand.h"
#include "control/commands/statuscommand.h"
#include "control/commands/validatecommand.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace Pimentohollow
{

namespace
{

constexpr const char *ProgramName = "pimentohollowctl";

constexpr const char *CommonOptions = R"(
  -h --help          Show this text.
  --settings=FILE    Operator settings; else $PIMENTOHOLLOW_SETTINGS, else pimentohollowctl.yaml.
  --output=FORMAT    text or json [default: text].
)";

constexpr const char *ExitCodes = R"(
Exit codes: 0 ok, 1 findings or invalid input, 2 usage, 3 conflict with another change, 4 platform unavailable (nothing
written), 5 outcome unknown (the change may be in force).
)";

std::string joined(const std::vector<std::string> &words)
{
    std::string text;
    for (const auto &it : words) {
        text += text.empty() ? it : " " + it;
    }
    return text;
}

} // namespace

std::string textArgument(const Arguments &arguments, const std::string &name)
{
    const auto it = arguments.find(name);
    return it == arguments.end() || !it->second.isString() ? std::string() : it->second.asString();
}

std::optional<std::uint64_t> numberArgument(const Arguments &arguments, const std::string &name, std::uint64_t fallback)
{
    const std::string text = textArgument(arguments, name);
    if (text.empty()) {
        return fallback;
    }
    std::uint64_t number = 0;
    const auto [rest, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
    return ec == std::errc() && rest == text.data() + text.size() ? std::optional(number) : std::nullopt;
}

ControlProgram::ControlProgram(ControlContext context)
    : m_context(std::move(context))
{
    m_commands.push_back(std::make_unique<ValidateCommand>());
    m_commands.push_back(std::make_unique<DiffCommand>());
    m_commands.push_back(std::make_unique<ApplyCommand>());
    m_commands.push_back(std::make_unique<StatusCommand>());
    m_commands.push_back(std::make_unique<HistoryCommand>());
    m_commands.push_back(std::make_unique<AuditVerifyCommand>());
    m_commands.push_back(std::make_unique<AuditExportCommand>());
    m_commands.push_back(std::make_unique<KeyIssueCommand>());
    m_commands.push_back(std::make_unique<KeyWithdrawCommand>());
    m_commands.push_back(std::make_unique<KeyListCommand>());
    m_commands.push_back(std::make_unique<NodeDrainCommand>());
    m_commands.push_back(std::make_unique<NodeRemoveCommand>());
}

ControlProgram::~ControlProgram() = default;

const Command *ControlProgram::find(const std::vector<std::string> &words) const
{
    for (const auto &it : m_commands) {
        const auto selected = it->words();
        if (words.size() >= selected.size() && std::equal(selected.begin(), selected.end(), words.begin())) {
            return it.get();
        }
    }
    return nullptr;
}

std::string ControlProgram::overview() const
{
    std::string text = fmt::format("Usage: {} SUBCOMMAND [options]\n\nSubcommands:\n", ProgramName);
    for (const auto &it : m_commands) {
        text += fmt::format("  {:<14} {}\n", joined(it->words()), it->summary());
    }
    text += fmt::format("\n'{} SUBCOMMAND --help' shows the options of a subcommand.\n{}", ProgramName, ExitCodes);
    return text;
}

std::string ControlProgram::usage(const Command &command)
{
    const std::string name = fmt::format("{} {}", ProgramName, joined(command.words()));
    return fmt::format("{}\n\nUsage:\n  {} {}\n  {} (-h | --help)\n\nOptions:{}{}{}",
                       command.summary(),
                       name,
                       command.pattern(),
                       name,
                       CommonOptions,
                       command.help(),
                       ExitCodes);
}

ExitCode ControlProgram::run(const std::vector<std::string> &words, std::ostream &out, std::ostream &err)
{
    const bool asksForHelp = words.size() == 1 && (words[0] == "--help" || words[0] == "-h" || words[0] == "help");
    if (asksForHelp) {
        out << overview();
        return ExitCode::Ok;
    }
    const Command *command = find(words);
    if (command == nullptr) {
        err << (words.empty() ? "no subcommand is given\n" : "unknown subcommand\n") << overview();
        return ExitCode::Usage;
    }
    const std::string text = usage(*command);
    try {
        const Arguments arguments = docopt::docopt_parse(text, words, true, false);
        return runCommand(*command, arguments, out, err);
    } catch (const docopt::DocoptExitHelp &) {
        out << text;
        return ExitCode::Ok;
    } catch (const docopt::DocoptArgumentError &error) {
        err << error.what() << "\n\n" << text;
        return ExitCode::Usage;
    }
}

ExitCode ControlProgram::runCommand(const Command &command, const Arguments &arguments, std::ostream &out, std::ostream &err)
{
    const std::string format = textArgument(arguments, "--output");
    if (format != "text" && format != "json") {
        err << "--output must be text or json\n";
        return ExitCode::Usage;
    }
    CommandResult result = command.run(arguments, m_context);
    if (format == "json") {
        result.json->set("exit_code", static_cast<int>(result.code));
        result.json->stringify(out, 2);
        out << "\n";
        return result.code;
    }
    (result.failed ? err : out) << result.text;
    return result.code;
}

ControlContext systemControlContext(const Clock &clock)
{
    return { clock, loadOperatorSettings, openPlatformOverHttp, callAdminOverHttp, systemSecretSource().environment };
}

} // namespace Pimentohollow
