#include "parsing/finding.h"

#include <fmt/format.h>

namespace Pimentohollow
{

std::string Finding::describe() const
{
    std::string place = file;
    if (line > 0) {
        place += fmt::format(":{}", line);
    }
    if (!field.empty()) {
        place += fmt::format(": {}", field);
    }
    return fmt::format("{}: {}", place, message);
}

std::string describe(const Findings &findings)
{
    std::string text;
    for (const auto &it : findings) {
        text += it.describe();
        text += '\n';
    }
    return text;
}

} // namespace Pimentohollow
