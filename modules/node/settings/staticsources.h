#pragma once

#include "node/settings/localsettings.h"

#include <atomic>

namespace Pimentohollow
{

/** The routes of the settings; the longest matching prefix wins. */
class StaticRoutes : public RouteSource
{
public:
    explicit StaticRoutes(std::vector<StaticRoute> routes);

    bool ready() const override;
    std::optional<RouteMatch> match(std::string_view method, std::string_view path) const override;
    RouteLimits limits(const RouteName &route, const AccountName &account) const override;

private:
    std::vector<StaticRoute> m_routes;
};

/** The keys of the settings. */
class StaticKeys : public KeySource
{
public:
    explicit StaticKeys(std::map<std::string, AccountName> accountsByKey);

    std::optional<AccountName> accountOf(std::string_view key) const override;

private:
    std::map<std::string, AccountName> m_accountsByKey;
};

/** The upstreams of the settings, in turn. */
class StaticUpstreams : public UpstreamSource
{
public:
    explicit StaticUpstreams(std::vector<StaticUpstream> upstreams);

    bool admits(const RequestContext &context) override;
    std::optional<UpstreamTarget> choose(const RequestContext &context, const std::vector<NodeName> &tried) override;
    bool hasOther(const RequestContext &context, const std::vector<NodeName> &tried) override;
    void finished(const RequestContext &context, const UpstreamTarget &target, const CallResponse &response, Duration took) override;

private:
    std::optional<UpstreamTarget> find(std::size_t start, const ServiceName &service, const std::vector<NodeName> &tried) const;

    std::vector<StaticUpstream> m_upstreams;
    std::atomic<std::size_t> m_next{ 0 };
};

} // namespace Pimentohollow
