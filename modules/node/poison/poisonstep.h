#pragma once

#include "node/pipeline/upstreamwork.h"
#include "node/poison/poisonguard.h"

#include <functional>

namespace Pimentohollow
{

/** Keeps requests that crashed upstreams from running again, and notices crashes. */
class PoisonStep
{
public:
    using Run = std::function<CallResult()>;

    explicit PoisonStep(PoisonGuard &guard);

    CallResult run(const UpstreamWork &work, const Run &run);

private:
    PoisonGuard &m_guard;
};

} // namespace Pimentohollow
