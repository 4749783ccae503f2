#include "control/commands/historycommand.h"

#include "control/controlsession.h"

#include <algorithm>
#include <fmt/format.h>
#include <Poco/JSON/Parser.h>

namespace Pimentohollow
{

std::vector<std::string> HistoryCommand::words() const
{
    return { "history" };
}

std::string HistoryCommand::summary() const
{
    return "Shows accepted changes, newest first";
}

std::string HistoryCommand::pattern() const
{
    return "[options]";
}

std::string HistoryCommand::help() const
{
    return R"(  --last=N           How many changes [default: 20].
)";
}

CommandResult HistoryCommand::run(const Arguments &arguments, ControlContext &context) const
{
    const auto count = numberArgument(arguments, "--last", 0);
    if (!count || *count == 0) {
        return usageResult("--last must be a positive number");
    }
    const auto session = ControlSession::open(arguments, context);
    if (!session) {
        return session.error();
    }
    const auto head = (*session)->store().head();
    if (!head) {
        return errorResult(head.error());
    }
    const std::uint64_t after = head->version > *count ? head->version - *count : 0;
    auto entries = (*session)->store().auditEntries(after, head->version);
    if (!entries) {
        return errorResult(entries.error());
    }
    std::reverse(entries->begin(), entries->end());
    CommandResult result;
    Poco::JSON::Array::Ptr list = Poco::makeShared<Poco::JSON::Array>();
    for (const auto &it : *entries) {
        result.text += fmt::format("version {}  {}  {}  {}\n", it.version, it.time, it.author, it.reason);
        for (const auto &line : it.changes) {
            result.text += "  " + line + "\n";
        }
        Poco::JSON::Parser parser;
        list->add(parser.parse(writeEntry(it)));
    }
    result.json->set("version", head->version);
    result.json->set("entries", list);
    return result;
}

} // namespace Pimentohollow
