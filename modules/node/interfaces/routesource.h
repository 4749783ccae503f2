#pragma once

#include "core/clock.h"
#include "core/names.h"
#include "core/requestcontext.h"

#include <optional>
#include <string_view>

namespace Pimentohollow
{

/** What the configuration says about a request. */
struct RouteMatch {
    RouteName route;
    ServiceName service;
    bool idempotent = false;
    /** Needs no key. */
    bool open = false;
    Priority priority = Priority::Normal;
    Duration deadline = std::chrono::seconds(10);
    /** Retries for the whole chain below a caller's request. */
    std::uint32_t retries = 2;
};

/** Finds the route of a request. Thread-safe. */
class RouteSource
{
public:
    virtual ~RouteSource() = default;

    /** @param path the target without its query */
    virtual std::optional<RouteMatch> match(std::string_view method, std::string_view path) const = 0;
};

} // namespace Pimentohollow
