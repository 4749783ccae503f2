#include "control/commands/keywithdrawcommand.h"

#include "control/controlsession.h"
#include "keys/keys.h"

#include <fmt/format.h>

namespace Pimentohollow
{

namespace
{

constexpr int StatusOk = 200;
constexpr int StatusAccepted = 202;

std::optional<CommandResult> withdraw(FleetConfiguration &fleet, const KeyId &key, const std::string &reason, WallTime now)
{
    switch (markWithdrawn(fleet, key, reason, now)) {
    case WithdrawalMark::Marked:
        return std::nullopt;
    case WithdrawalMark::UnknownKey:
        return findingsResult({ { "fleet", 0, "key", fmt::format("there is no key '{}'", key.text()) } });
    case WithdrawalMark::AlreadyWithdrawn:
        break;
    }
    CommandResult result;
    result.text = fmt::format("key {} has been withdrawn since {}\n", key.text(), formatTime(*fleet.keys.at(key).withdrawn));
    return result;
}

CommandResult nodeAnswer(const AdminAnswer &answer, const std::string &url)
{
    CommandResult result;
    if (answer.status == StatusOk || answer.status == StatusAccepted) {
        const bool recorded = answer.status == StatusOk;
        result.text = recorded ? "accepted and recorded\n" : "accepted, not yet recorded\n";
        result.json->set("accepted", true);
        result.json->set("recorded", recorded);
        return result;
    }
    return errorResult({ ErrorKind::InvalidInput, "key.withdraw", url, fmt::format("the node refused with status {}", answer.status) });
}

CommandResult withdrawViaNode(const ControlSession &session, const KeyId &key, const Arguments &arguments, const ControlContext &context)
{
    const auto recorded = session.record({}, 0, arguments, context);
    if (!recorded) {
        return recorded.error();
    }
    const auto seconds = std::chrono::floor<std::chrono::seconds>(recorded->time).time_since_epoch().count();
    const Withdrawal withdrawal{ key, recorded->author, recorded->reason, seconds };
    AdminCall call;
    call.url = textArgument(arguments, "--via");
    call.method = "POST";
    call.path = "/v1/withdrawals";
    call.body = writeWithdrawal(signWithdrawal(session.settings().keyPepper.reveal(), withdrawal));
    call.operatorToken = session.settings().operatorToken;
    call.authoritiesFile = session.settings().authoritiesFile;
    const auto answer = context.callAdmin(call);
    return answer ? nodeAnswer(*answer, call.url) : errorResult(answer.error());
}

} // namespace

std::vector<std::string> KeyWithdrawCommand::words() const
{
    return { "key", "withdraw" };
}

std::string KeyWithdrawCommand::summary() const
{
    return "Withdraws a client key for good";
}

std::string KeyWithdrawCommand::pattern() const
{
    return "[options] <key-id>";
}

std::string KeyWithdrawCommand::help() const
{
    return R"(  --reason=TEXT      Why, for the audit log; mandatory.
  --author=NAME      Operator; else $PIMENTOHOLLOW_AUTHOR, else $USER.
  --via=NODE         Admin listener of a node, such as http://10.0.0.5:9000, for use while the platform is unavailable.

A withdrawal is permanent. With --via the node spreads it at once and records it when the platform answers again.
)";
}

CommandResult KeyWithdrawCommand::run(const Arguments &arguments, ControlContext &context) const
{
    const auto session = ControlSession::open(arguments, context);
    if (!session) {
        return session.error();
    }
    const KeyId key(textArgument(arguments, "<key-id>"));
    if (const std::string problem = nameProblem(key.text()); !problem.empty()) {
        return usageResult("<key-id> " + problem);
    }
    if (!textArgument(arguments, "--via").empty()) {
        return withdrawViaNode(**session, key, arguments, context);
    }
    CommandResult result = (*session)->applyEdit(
        [&](FleetConfiguration &fleet) {
            return withdraw(fleet, key, textArgument(arguments, "--reason"), context.clock.wallNow());
        },
        arguments,
        context);
    if (result.code == ExitCode::PlatformUnavailable) {
        result.text += "use --via=NODE to withdraw the key without the platform\n";
    }
    return result;
}

} // namespace Pimentohollow
