#pragma once

#include "messages/call/linkmessages.h"

namespace Pimentohollow
{

/** Answers the requests of other nodes for configuration changes. Called from many threads at once. */
class ChangesHandler
{
public:
    virtual ~ChangesHandler() = default;

    /** What a node needs whose configuration has the version @p version; empty if it needs nothing. */
    virtual ChangesResponse changesAfter(std::uint64_t version) = 0;
};

} // namespace Pimentohollow
