#pragma once

#include "core/random.h"
#include "measures.h"

#include <optional>
#include <vector>

namespace Pimentohollow
{

/** What a caller wants; it may be sent several times. */
struct CallerRequest {
    std::size_t account = 0;
    Priority priority = Priority::Normal;
    Duration firstSent{};
    std::uint32_t resends = 0;
};

/** The callers: Poisson arrivals per account, and resends by those that retry hard. */
class CallerModel
{
public:
    CallerModel(const Experiment &experiment, Random &random);

    /** Time until the next new request of an account. */
    Duration gap(std::size_t account, Duration now);

    CallerRequest newRequest(std::size_t account, Duration now);

    /** When a failed request is sent again; nothing if its caller gives up. */
    std::optional<Duration> resendDelay(const CallerRequest &request);

private:
    Experiment m_experiment;
    Random &m_random;
};

} // namespace Pimentohollow
