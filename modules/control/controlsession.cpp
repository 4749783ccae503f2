#include "control/controlsession.h"

#include "parsing/scalars.h"

#include <fmt/format.h>
#include <Poco/UUIDGenerator.h>

namespace Pimentohollow
{

namespace
{

constexpr const char *DefaultSettingsFile = "pimentohollowctl.yaml";
/** Conflicts in a row after which an edit gives up; each needs another operator's change within milliseconds. */
constexpr int EditAttempts = 10;

PlatformEndpoint endpointOf(const OperatorSettings &settings, const std::string &url)
{
    PlatformEndpoint endpoint;
    endpoint.url = url;
    endpoint.region = settings.platform.region;
    endpoint.accessKeyId = settings.platform.accessKeyId.reveal();
    endpoint.secretAccessKey = settings.platform.secretAccessKey.reveal();
    endpoint.timeout = settings.platform.timeout;
    endpoint.authoritiesFile = settings.authoritiesFile;
    return endpoint;
}

std::string firstOf(const std::string &text, const ControlContext &context, std::initializer_list<const char *> variables)
{
    if (!text.empty()) {
        return text;
    }
    for (const char *it : variables) {
        if (const auto value = context.environment(it)) {
            return *value;
        }
    }
    return {};
}

} // namespace

PlatformAccess openPlatformOverHttp(const OperatorSettings &settings, const Clock &clock)
{
    const PlatformSettings &platform = settings.platform;
    return {
        std::make_shared<HttpTableService>(endpointOf(settings, platform.tableEndpoint), platform.tableName, clock),
        std::make_shared<HttpObjectStore>(endpointOf(settings, platform.objectEndpoint), platform.bucket, clock),
    };
}

tl::expected<std::unique_ptr<ControlSession>, CommandResult> ControlSession::open(const Arguments &arguments, ControlContext &context)
{
    std::string path = firstOf(textArgument(arguments, "--settings"), context, { "PIMENTOHOLLOW_SETTINGS" });
    if (path.empty()) {
        path = DefaultSettingsFile;
    }
    auto settings = context.loadSettings(path);
    if (!settings) {
        return tl::make_unexpected(findingsResult(settings.error()));
    }
    const PlatformAccess platform = context.openPlatform(*settings, context.clock);
    return std::make_unique<ControlSession>(std::move(*settings), platform, context.clock);
}

ControlSession::ControlSession(OperatorSettings settings, const PlatformAccess &platform, const Clock &clock)
    : m_settings(std::move(settings))
    , m_platform(platform)
    , m_clock(clock)
    , m_store(*m_platform.table, *m_platform.objects)
{
}

const OperatorSettings &ControlSession::settings() const
{
    return m_settings;
}

ConfigurationStore &ControlSession::store()
{
    return m_store;
}

tl::expected<FleetChange, CommandResult>
ControlSession::record(FleetChange change, std::uint64_t baseVersion, const Arguments &arguments, const ControlContext &context) const
{
    const std::string author = firstOf(textArgument(arguments, "--author"), context, { "PIMENTOHOLLOW_AUTHOR", "USER" });
    const std::string authorProblem = parseScalar(author, {}, change.author);
    if (!authorProblem.empty()) {
        return tl::make_unexpected(usageResult("--author " + authorProblem));
    }
    const std::string reasonProblem = parseScalar(textArgument(arguments, "--reason"), {}, change.reason);
    if (!reasonProblem.empty()) {
        return tl::make_unexpected(usageResult("--reason " + reasonProblem));
    }
    change.version = baseVersion + 1;
    change.changeId = Poco::UUIDGenerator::defaultGenerator().createRandom().toString();
    change.time = std::chrono::floor<std::chrono::seconds>(m_clock.wallNow());
    return change;
}

CommandResult ControlSession::apply(const VersionedFleet &base, const FleetChange &change)
{
    const auto outcome = m_store.apply(base, change);
    if (!outcome) {
        CommandResult result = errorResult(outcome.error());
        if (result.code == ExitCode::OutcomeUnknown) {
            result.text += fmt::format("look for change {} in 'history' once the platform answers\n", change.changeId);
            result.json->set("change_id", change.changeId);
        }
        return result;
    }
    if (!outcome->applied) {
        return conflictResult(*outcome);
    }
    CommandResult result;
    result.text = fmt::format("version {} is in force\n", outcome->version);
    result.json->set("version", outcome->version);
    result.json->set("change_id", change.changeId);
    result.json->set("changes", jsonList(change.describe()));
    return result;
}

CommandResult ControlSession::applyEdit(const Edit &edit, const Arguments &arguments, const ControlContext &context)
{
    CommandResult result;
    for (int n = 0; n < EditAttempts; ++n) {
        const auto base = m_store.load();
        if (!base) {
            return errorResult(base.error());
        }
        FleetConfiguration target = base->fleet;
        if (auto ended = edit(target)) {
            return *ended;
        }
        const auto change = record(diffFleets(base->fleet, target), base->version, arguments, context);
        if (!change) {
            return change.error();
        }
        result = apply(*base, *change);
        if (result.code != ExitCode::Conflict) {
            return result;
        }
    }
    return result;
}

} // namespace Pimentohollow
