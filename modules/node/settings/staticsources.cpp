#include "node/settings/staticsources.h"

#include <algorithm>

namespace Pimentohollow
{

StaticRoutes::StaticRoutes(std::vector<StaticRoute> routes)
    : m_routes(std::move(routes))
{
}

bool StaticRoutes::ready() const
{
    return true;
}

std::optional<RouteMatch> StaticRoutes::match(std::string_view method, std::string_view path) const
{
    const StaticRoute *best = nullptr;
    for (const auto &it : m_routes) {
        const bool matches = path.starts_with(it.prefix) && (it.method.empty() || it.method == method);
        if (matches && (best == nullptr || it.prefix.size() > best->prefix.size())) {
            best = &it;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(best->match);
}

RouteLimits StaticRoutes::limits(const RouteName &route, const AccountName & /*account*/) const
{
    for (const auto &it : m_routes) {
        if (it.match.route == route) {
            return it.limits;
        }
    }
    return {};
}

StaticKeys::StaticKeys(std::map<std::string, AccountName> accountsByKey)
    : m_accountsByKey(std::move(accountsByKey))
{
}

std::optional<AccountName> StaticKeys::accountOf(std::string_view key) const
{
    const auto it = m_accountsByKey.find(std::string(key));
    return it == m_accountsByKey.end() ? std::nullopt : std::optional(it->second);
}

StaticUpstreams::StaticUpstreams(std::vector<StaticUpstream> upstreams)
    : m_upstreams(std::move(upstreams))
{
}

bool StaticUpstreams::admits(const RequestContext & /*context*/)
{
    return true;
}

std::optional<UpstreamTarget> StaticUpstreams::choose(const RequestContext &context, const std::vector<NodeName> &tried)
{
    return find(m_next++, context.service, tried);
}

bool StaticUpstreams::hasOther(const RequestContext &context, const std::vector<NodeName> &tried)
{
    return find(0, context.service, tried).has_value();
}

void StaticUpstreams::finished(const RequestContext & /*context*/,
                               const UpstreamTarget & /*target*/,
                               const CallResponse & /*response*/,
                               Duration /*took*/)
{
}

std::optional<UpstreamTarget> StaticUpstreams::find(std::size_t start, const ServiceName &service, const std::vector<NodeName> &tried) const
{
    for (std::size_t n = 0; n < m_upstreams.size(); ++n) {
        const StaticUpstream &it = m_upstreams[(start + n) % m_upstreams.size()];
        if (it.service == service && std::find(tried.begin(), tried.end(), it.target.node) == tried.end()) {
            return it.target;
        }
    }
    return std::nullopt;
}

} // namespace Pimentohollow
