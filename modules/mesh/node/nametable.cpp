#include "mesh/node/nametable.h"

#include <utility>

namespace Pimentohollow
{

std::uint32_t NameTable::indexOf(const std::string &name)
{
    const auto [it, added] = m_indices.emplace(name, static_cast<std::uint32_t>(m_names.size()));
    if (added) {
        m_names.push_back(name);
    }
    return it->second;
}

std::vector<std::string> NameTable::takeNewNames(std::uint32_t &firstIndex)
{
    firstIndex = std::exchange(m_takenCount, static_cast<std::uint32_t>(m_names.size()));
    return { m_names.begin() + firstIndex, m_names.end() };
}

} // namespace Pimentohollow
