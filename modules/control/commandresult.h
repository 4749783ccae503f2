#pragma once

#include "configuration/configuration.h"
#include "core/error.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <string>
#include <vector>

namespace Pimentohollow
{

/** Exit codes of pimentohollowctl; scripts rely on them. */
enum class ExitCode {
    Ok = 0,
    HasFindings = 1, ///< the input is invalid, or something was found
    Usage = 2,
    Conflict = 3, ///< another change took the version; nothing was written
    PlatformUnavailable = 4, ///< nothing was written
    OutcomeUnknown = 5, ///< the change may be in force
};

/** What a subcommand reports: text for people and JSON for scripts. */
struct CommandResult {
    ExitCode code = ExitCode::Ok;
    /** True if the text explains why nothing was done; it then goes to the error output. */
    bool failed = false;
    std::string text;
    Poco::JSON::Object::Ptr json = Poco::makeShared<Poco::JSON::Object>(Poco::JSON_PRESERVE_KEY_ORDER);
};

CommandResult usageResult(const std::string &message);

/** An invalid document. */
CommandResult findingsResult(const Findings &findings);

/** A failure of the platform or of a node; the code follows from the kind of error. */
CommandResult errorResult(const Error &error);

/** A change that lost against another one. */
CommandResult conflictResult(const ApplyOutcome &outcome);

Poco::JSON::Array::Ptr jsonList(const std::vector<std::string> &lines);

} // namespace Pimentohollow
