#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace Pimentohollow
{

/** Assigns indices to names in order of first use, so that status frames carry indices instead of names. Indices are never reused. */
class NameTable
{
public:
    /** Returns the index of @p name, which is added if it is new. */
    std::uint32_t indexOf(const std::string &name);

    /** All names, by index. */
    const std::vector<std::string> &names() const
    {
        return m_names;
    }

    /** Returns the names added since the last call and sets @p firstIndex to the index of the first one. */
    std::vector<std::string> takeNewNames(std::uint32_t &firstIndex);

private:
    std::unordered_map<std::string, std::uint32_t> m_indices;
    std::vector<std::string> m_names;
    std::uint32_t m_takenCount = 0;
};

} // namespace Pimentohollow
