#pragma once

#include "control/adminclient.h"
#include "control/command.h"
#include "core/clock.h"
#include "storage/storage.h"

#include <functional>
#include <memory>
#include <optional>

namespace Pimentohollow
{

/** The two services of the platform. */
struct PlatformAccess {
    std::shared_ptr<TableService> table;
    std::shared_ptr<ObjectStore> objects;
};

/** Opens the services that the settings name; nothing is sent yet. */
PlatformAccess openPlatformOverHttp(const OperatorSettings &settings, const Clock &clock);

/** What the subcommands use of the outside; tests pass their own. */
struct ControlContext {
    const Clock &clock;
    std::function<Parsed<OperatorSettings>(const std::string &path)> loadSettings;
    std::function<PlatformAccess(const OperatorSettings &settings, const Clock &clock)> openPlatform;
    AdminCaller callAdmin;
    std::function<std::optional<std::string>(const std::string &name)> environment;
};

/** One run of a subcommand that uses the platform. */
class ControlSession
{
public:
    /** Changes a copy of the fleet; a result ends the command without a change. */
    using Edit = std::function<std::optional<CommandResult>(FleetConfiguration &fleet)>;

    /** Loads the settings and opens the platform; a result if that fails. */
    static tl::expected<std::unique_ptr<ControlSession>, CommandResult> open(const Arguments &arguments, ControlContext &context);

    ControlSession(OperatorSettings settings, const PlatformAccess &platform, const Clock &clock);

    const OperatorSettings &settings() const;
    ConfigurationStore &store();

    /** Fills in version, id, author, time and reason; a usage result if author or reason is missing or malformed. */
    tl::expected<FleetChange, CommandResult>
    record(FleetChange change, std::uint64_t baseVersion, const Arguments &arguments, const ControlContext &context) const;

    /** Applies a recorded change once. */
    CommandResult apply(const VersionedFleet &base, const FleetChange &change);

    /** Loads, edits and applies; starts again after a conflict, because an edit of one entity doesn't depend on other changes. */
    CommandResult applyEdit(const Edit &edit, const Arguments &arguments, const ControlContext &context);

private:
    OperatorSettings m_settings;
    PlatformAccess m_platform;
    const Clock &m_clock;
    ConfigurationStore m_store;
};

} // namespace Pimentohollow
