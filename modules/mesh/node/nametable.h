#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace Pimentohollow
{

/** Numbers names in the order in which they are first used, so that status frames carry numbers. A number is never given again. */
class NameTable
{
public:
    /** The number of @p name, which is added if it is new. */
    std::uint32_t indexOf(const std::string &name);

    /** All names, by number. */
    const std::vector<std::string> &names() const
    {
        return m_names;
    }

    /** Names that were added since the last call, the first of them with the number @p first. */
    std::vector<std::string> takeNewNames(std::uint32_t &firstIndex);

private:
    std::unordered_map<std::string, std::uint32_t> m_indices;
    std::vector<std::string> m_names;
    std::uint32_t m_takenCount = 0;
};

} // namespace Pimentohollow
