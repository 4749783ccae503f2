#pragma once

#include "mesh/model/trafficrules.h"

#include <string_view>
#include <unordered_map>

namespace Pimentohollow
{

/** Index of the routes and client keys of one version of the rules. Immutable after construction. */
class RuleIndex
{
public:
    explicit RuleIndex(TrafficRules rules);

    const TrafficRules &rules() const
    {
        return m_rules;
    }

    std::uint64_t version() const
    {
        return m_rules.version;
    }

    /** Returns the route of @p host with the longest prefix of the path of @p target, or nullptr. The port in @p host is ignored. */
    const TrafficRoute *route(std::string_view host, std::string_view target) const;
    /** Returns the account that owns @p key, or nullptr. */
    const TrafficAccount *accountOf(const std::string &key) const;

private:
    TrafficRules m_rules;
    /** By lower-case host, with the longest prefix first. */
    std::unordered_map<std::string, std::vector<const TrafficRoute *>> m_routes;
    std::unordered_map<std::string, const TrafficAccount *> m_accounts;
};

} // namespace Pimentohollow
