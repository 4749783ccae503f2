#pragma once

#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace Pimentohollow
{

/** One fault in a document, with the place where an operator finds it. */
struct Finding {
    std::string file;
    /** Counted from 1; 0 if the fault has no line of its own. */
    int line = 0;
    /** Path of the field, for example "routes[2].path_prefix"; empty for the whole document. */
    std::string field;
    std::string message;

    /** One line for command-line output and logs: "file:line: field: message". */
    std::string describe() const;

    bool operator==(const Finding &) const = default;
};

using Findings = std::vector<Finding>;

/** A parsed value, or all faults of the document at once. */
template <typename T>
using Parsed = tl::expected<T, Findings>;

/** All findings as lines of text. */
std::string describe(const Findings &findings);

} // namespace Pimentohollow
