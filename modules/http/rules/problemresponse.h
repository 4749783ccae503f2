#pragma once

#include "core/refusal.h"
#include "messages/call/httpmessages.h"

namespace Pimentohollow
{

/** The HTTP status that belongs to a refusal. */
std::uint16_t refusalStatus(const Refusal &refusal);

/** The response to a refused request: application/problem+json (RFC 9457) with reason, ran and Retry-After. */
HttpResponseMessage problemResponse(const Refusal &refusal);

/** The same with a more specific status than that of the reason, such as 413. */
HttpResponseMessage problemResponse(const Refusal &refusal, std::uint16_t status);

/** The standard reason phrase, or "Unknown". */
std::string reasonPhrase(std::uint16_t status);

} // namespace Pimentohollow
