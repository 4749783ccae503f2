#include "control/commands/keyissuecommand.h"

#include "control/controlsession.h"
#include "keys/keys.h"

#include <fmt/format.h>

namespace Pimentohollow
{

std::vector<std::string> KeyIssueCommand::words() const
{
    return { "key", "issue" };
}

std::string KeyIssueCommand::summary() const
{
    return "Issues a client key and prints it once";
}

std::string KeyIssueCommand::pattern() const
{
    return "[options] ACCOUNT";
}

std::string KeyIssueCommand::help() const
{
    return R"(  --reason=TEXT      Why, for the audit log; mandatory.
  --author=NAME      Operator; else $PIMENTOHOLLOW_AUTHOR, else $USER.

The key is printed once and stored nowhere; hand it to the account's owner over a safe channel.
)";
}

CommandResult KeyIssueCommand::run(const Arguments &arguments, ControlContext &context) const
{
    const auto session = ControlSession::open(arguments, context);
    if (!session) {
        return session.error();
    }
    const auto key = ClientKey::generate();
    const auto id = generateKeyId();
    if (!key || !id) {
        return errorResult(key ? id.error() : key.error());
    }
    const AccountName account(textArgument(arguments, "ACCOUNT"));
    const std::string digest = digestText(keyDigest((*session)->settings().keyPepper.reveal(), key->reveal()));
    CommandResult result = (*session)->applyEdit(
        [&](FleetConfiguration &fleet) -> std::optional<CommandResult> {
            if (!fleet.accounts.contains(account)) {
                return findingsResult({ { "fleet", 0, "account", fmt::format("there is no account '{}'", account.text()) } });
            }
            fleet.upsert(KeyEntity{ *id, account, digest, std::nullopt, std::nullopt });
            return std::nullopt;
        },
        arguments,
        context);
    if (result.code == ExitCode::Ok) {
        result.text += fmt::format("key id: {}\nkey: {}\n", id->text(), key->reveal());
        result.json->set("key_id", id->text());
        result.json->set("key", key->reveal());
    } else if (result.code == ExitCode::OutcomeUnknown) {
        result.text += fmt::format("the key is not shown; withdraw {} if it was recorded, and issue another one\n", id->text());
        result.json->set("key_id", id->text());
    }
    return result;
}

} // namespace Pimentohollow
