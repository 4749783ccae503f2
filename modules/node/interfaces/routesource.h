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
};

/** Deadline and retries of one account's requests on a route. */
struct RouteLimits {
    Duration deadline = std::chrono::seconds(2);
    /** Upper bound of a deadline that the caller asks for. */
    Duration maximumDeadline = std::chrono::seconds(30);
    /** For the whole chain below a caller's request. */
    std::uint32_t retries = 2;
};

/** Finds the route of a request. Thread-safe. */
class RouteSource
{
public:
    virtual ~RouteSource() = default;

    /** False while there is no configuration; requests are then refused as not run. */
    virtual bool ready() const = 0;

    /** @param path the target without its query, and without dot segments */
    virtual std::optional<RouteMatch> match(std::string_view method, std::string_view path) const = 0;

    virtual RouteLimits limits(const RouteName &route, const AccountName &account) const = 0;
};

} // namespace Pimentohollow
