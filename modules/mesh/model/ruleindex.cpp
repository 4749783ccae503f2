#include "mesh/model/ruleindex.h"

#include <algorithm>

namespace Pimentohollow
{

namespace
{

std::string lowerCase(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(), [](unsigned char it) {
        return static_cast<char>(std::tolower(it));
    });
    return result;
}

} // namespace

RuleIndex::RuleIndex(TrafficRules rules)
    : m_rules(std::move(rules))
{
    for (const auto &it : m_rules.routes) {
        m_routes[lowerCase(it.host)].push_back(&it);
    }
    for (auto &[host, routes] : m_routes) {
        std::stable_sort(routes.begin(), routes.end(), [](const TrafficRoute *a, const TrafficRoute *b) {
            return a->prefix.size() > b->prefix.size();
        });
    }
    for (const auto &it : m_rules.accounts) {
        for (const auto &key : it.keys) {
            m_accounts[key] = &it;
        }
    }
}

const TrafficRoute *RuleIndex::route(std::string_view host, std::string_view target) const
{
    const auto found = m_routes.find(lowerCase(host.substr(0, host.find(':'))));
    if (found == m_routes.end()) {
        return nullptr;
    }
    const std::string_view path = target.substr(0, target.find('?'));
    for (const auto *it : found->second) {
        if (path.starts_with(it->prefix)) {
            return it;
        }
    }
    return nullptr;
}

const TrafficAccount *RuleIndex::accountOf(const std::string &key) const
{
    const auto found = m_accounts.find(key);
    return found == m_accounts.end() ? nullptr : found->second;
}

} // namespace Pimentohollow
