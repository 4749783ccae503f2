#pragma once

#include "claims/claim.h"
#include "core/clock.h"
#include "core/random.h"
#include "storage/interfaces/objectstore.h"
#include "storage/interfaces/tableservice.h"

namespace Pimentohollow
{

/** What one step of a ClaimSweeper did. */
struct SweepStep {
    std::size_t removedClaims = 0;
    /** More expired claims are known; the caller may continue after its pause. */
    bool more = false;
};

/**
 * Removes expired claims of a data centre, one committed group at a time, so that each step costs at most 26 reads, 25
 * object deletes and two transactions. Any number of nodes may sweep: each delete depends on the claim id. Blocking.
 *
 * Safety needs wall clocks that are right to within ExpiryMargin less the longest run; a clock that jumped while the
 * process lived stops the sweeping.
 */
class ClaimSweeper
{
public:
    /** Drift between the wall clock and the monotonic clock beyond which the wall clock was set, not slewed. */
    static constexpr Duration LargestDrift = std::chrono::minutes(5);

    ClaimSweeper(TableService &table, ObjectStore &objects, DataCentreName dataCentre, const Clock &clock, Random &random);

    /** Removes the claims of the oldest expired group, if there is one. A failed step changes nothing that a repeat can't finish. */
    Result<SweepStep> step();

private:
    bool clockJumped() const;
    Result<std::size_t> removeGroup(const KeyedRow &group);
    Result<std::vector<Claim>> readClaims(const std::vector<ClaimReference> &references);
    Result<void> removeBodies(const std::vector<Claim> &claims);

    TableService &m_table;
    ObjectStore &m_objects;
    DataCentreName m_dataCentre;
    const Clock &m_clock;
    Random &m_random;
    TimePoint m_startedAt;
    WallTime m_startedAtWall;
};

} // namespace Pimentohollow
