#include "mesh/node/namelist.h"

#include <utility>

namespace Pimentohollow
{

std::uint32_t NameList::number(const std::string &name)
{
    const auto [it, added] = m_numbers.emplace(name, static_cast<std::uint32_t>(m_names.size()));
    if (added) {
        m_names.push_back(name);
    }
    return it->second;
}

std::vector<std::string> NameList::takeNew(std::uint32_t &first)
{
    first = std::exchange(m_taken, static_cast<std::uint32_t>(m_names.size()));
    return { m_names.begin() + first, m_names.end() };
}

} // namespace Pimentohollow
