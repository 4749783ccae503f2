#include "control/commands/keylistcommand.h"

#include "control/controlsession.h"

#include <fmt/format.h>

namespace Pimentohollow
{

std::vector<std::string> KeyListCommand::words() const
{
    return { "key", "list" };
}

std::string KeyListCommand::summary() const
{
    return "Lists client keys without the keys themselves";
}

std::string KeyListCommand::pattern() const
{
    return "[options]";
}

std::string KeyListCommand::help() const
{
    return R"(  --account=NAME     Only the keys of this account.
)";
}

CommandResult KeyListCommand::run(const Arguments &arguments, ControlContext &context) const
{
    const auto session = ControlSession::open(arguments, context);
    if (!session) {
        return session.error();
    }
    const auto fleet = (*session)->store().load();
    if (!fleet) {
        return errorResult(fleet.error());
    }
    const std::string account = textArgument(arguments, "--account");
    CommandResult result;
    Poco::JSON::Array::Ptr list = Poco::makeShared<Poco::JSON::Array>();
    for (const auto &[id, key] : fleet->fleet.keys) {
        if (!account.empty() && key.account.text() != account) {
            continue;
        }
        const std::string state = key.withdrawn ? "withdrawn " + formatTime(*key.withdrawn) : "valid";
        result.text += fmt::format("{}  {}  {}\n", id.text(), key.account.text(), state);
        Poco::JSON::Object::Ptr item = Poco::makeShared<Poco::JSON::Object>(Poco::JSON_PRESERVE_KEY_ORDER);
        item->set("key_id", id.text());
        item->set("account", key.account.text());
        item->set("withdrawn", key.withdrawn.has_value());
        item->set("reason", key.withdrawalReason.value_or(""));
        list->add(item);
    }
    result.json->set("version", fleet->version);
    result.json->set("keys", list);
    return result;
}

} // namespace Pimentohollow
