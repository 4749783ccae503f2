#pragma once

#include "configuration/settings/secret.h"
#include "core/error.h"

#include <functional>
#include <string>

namespace Pimentohollow
{

/** A call to the admin listener of a node. */
struct AdminCall {
    /** "http://10.0.0.5:9000" or "https://..." */
    std::string url;
    std::string method = "GET";
    std::string path;
    std::string body;
    Secret operatorToken;
    /** PEM file of trusted certificates; empty means those of the operating system. */
    std::string authoritiesFile;
};

struct AdminAnswer {
    int status = 0;
    std::string body;
};

/** Makes one call; tests pass their own. */
using AdminCaller = std::function<Result<AdminAnswer>(const AdminCall &)>;

/**
 * Makes the call over HTTP with a time limit of a few seconds.
 * Errors: Unavailable (nothing was sent), OutcomeUnknown (no whole answer to a call that was sent), InvalidInput (the
 * answer is too large).
 */
Result<AdminAnswer> callAdminOverHttp(const AdminCall &call);

} // namespace Pimentohollow
