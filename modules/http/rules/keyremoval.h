#pragma once

#include "messages/call/httpmessages.h"

#include <optional>
#include <string>
#include <tl/expected.hpp>

namespace Pimentohollow
{

/** The bearer key of a request, if it carries one. */
std::optional<std::string> bearerKey(const HttpHeaders &headers);

/**
 * Removes every trace of a client key, so that no upstream sees it: credentials headers, the query parameter
 * access_token, and each header or query parameter that contains the key, also percent-encoded.
 * @return why the request must be refused: the key is in the path or the body, where it can't be cut out
 */
tl::expected<void, std::string> removeKey(HttpRequestMessage &request, const std::optional<std::string> &key);

} // namespace Pimentohollow
