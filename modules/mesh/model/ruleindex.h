#pragma once

#include "mesh/model/trafficrules.h"

#include <string_view>
#include <unordered_map>

namespace Pimentohollow
{

/** Looks up routes and keys of one version of the rules. Not changed after construction. */
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

    /** The route of @p host with the longest prefix that begins the path of @p target, or nullptr. The port in @p host is ignored. */
    const TrafficRoute *route(std::string_view host, std::string_view target) const;
    /** The account that holds @p key, or nullptr. */
    const TrafficAccount *accountOf(const std::string &key) const;

private:
    TrafficRules m_rules;
    /** By host, with the longest prefix first. */
    std::unordered_map<std::string, std::vector<const TrafficRoute *>> m_routes;
    std::unordered_map<std::string, const TrafficAccount *> m_accounts;
};

} // namespace Pimentohollow
