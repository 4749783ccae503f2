#include "core/error.h"

#include <fmt/format.h>

namespace Pimentohollow
{

std::string Error::describe() const
{
    if (peer.empty()) {
        return fmt::format("{}: {}: {}", step, ErrorKindNames.name(kind), message);
    }
    return fmt::format("{} ({}): {}: {}", step, peer, ErrorKindNames.name(kind), message);
}

tl::unexpected<Error> failure(ErrorKind kind, std::string step, std::string message, std::string peer)
{
    return tl::unexpected<Error>(Error{ kind, std::move(step), std::move(peer), std::move(message) });
}

} // namespace Pimentohollow
