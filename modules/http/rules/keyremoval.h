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
 * Removes a client key from a request, so that no upstream receives it: credential headers, the query parameter
 * access_token, and each header or query parameter that contains the key, also percent-encoded.
 * @return an error if the request must be refused: the key is in the path or the body, from where it can't be removed
 */
tl::expected<void, std::string> removeKey(HttpRequestMessage &request, const std::optional<std::string> &key);

} // namespace Pimentohollow
