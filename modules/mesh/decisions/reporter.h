#pragma once

#include "core/names.h"

#include <cstddef>

namespace Pimentohollow
{

/** Sender of a report: a node of this data centre, or a relay that reports for all nodes of another data centre. */
struct Reporter {
    NodeName name;
    /** Number of nodes that the report covers. */
    std::size_t nodes = 1;
    bool sameDataCentre = true;
};

} // namespace Pimentohollow
