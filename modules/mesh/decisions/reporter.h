#pragma once

#include "core/names.h"

#include <cstddef>

namespace Pimentohollow
{

/** Who reports: a node of the own data centre, or a relay that reports all nodes of another data centre together. */
struct Reporter {
    NodeName name;
    /** Nodes that the report covers. */
    std::size_t nodes = 1;
    bool sameDataCentre = true;
};

} // namespace Pimentohollow
