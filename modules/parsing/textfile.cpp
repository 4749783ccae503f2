#include "parsing/textfile.h"

#include <fstream>
#include <sstream>

namespace Pimentohollow
{

std::optional<std::string> readTextFile(const std::string &path)
{
    std::ifstream stream(path, std::ios::binary);
    std::ostringstream content;
    // Reading from a directory opens but doesn't read.
    if (!stream || stream.peek() == std::ifstream::traits_type::eof()) {
        return stream.eof() ? std::optional<std::string>("") : std::nullopt;
    }
    content << stream.rdbuf();
    return content.str();
}

} // namespace Pimentohollow
