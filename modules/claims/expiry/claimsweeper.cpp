#include "claims/expiry/claimsweeper.h"

#include <fmt/format.h>

namespace Pimentohollow
{

ClaimSweeper::ClaimSweeper(TableService &table, ObjectStore &objects, DataCentreName dataCentre, const Clock &clock, Random &random)
    : m_table(table)
    , m_objects(objects)
    , m_dataCentre(std::move(dataCentre))
    , m_clock(clock)
    , m_random(random)
    , m_startedAt(clock.now())
    , m_startedAtWall(clock.wallNow())
{
}

Result<SweepStep> ClaimSweeper::step()
{
    if (clockJumped()) {
        return failure(ErrorKind::Internal, "claims.sweep", "the wall clock was set while the process ran; expired claims are kept");
    }
    const auto groups = m_table.query(expiryPartition(m_dataCentre), "", expirySortBound(m_clock.wallNow()), 2);
    if (!groups) {
        return tl::unexpected(groups.error());
    }
    if (groups->empty()) {
        return SweepStep{};
    }
    const auto removed = removeGroup(groups->front());
    if (!removed) {
        return tl::unexpected(removed.error());
    }
    return SweepStep{ *removed, groups->size() > 1 };
}

bool ClaimSweeper::clockJumped() const
{
    const Duration monotonic = m_clock.now() - m_startedAt;
    const Duration wall = m_clock.wallNow() - m_startedAtWall;
    return std::chrono::abs(wall - monotonic) > LargestDrift;
}

Result<std::size_t> ClaimSweeper::removeGroup(const KeyedRow &group)
{
    const auto references = expiryFromRow(group.row);
    if (!references) {
        return tl::unexpected(references.error());
    }
    const auto claims = readClaims(*references);
    if (!claims) {
        return tl::unexpected(claims.error());
    }
    // Objects go first: once the rows are gone, nothing refers to the objects any more.
    if (const auto removed = removeBodies(*claims); !removed) {
        return tl::unexpected(removed.error());
    }
    std::vector<TableOperation> operations;
    for (const auto &it : *claims) {
        operations.emplace_back(DeleteRow{ claimRowKey(it.key), AttributeEquals{ std::string(ClaimIdAttribute), it.claimId } });
    }
    operations.emplace_back(DeleteRow{ group.key, NoCondition{} });
    const std::uint64_t high = m_random.engine()();
    const std::uint64_t low = m_random.engine()();
    const auto result = m_table.transact(operations, fmt::format("{:016x}{:016x}", high, low));
    if (!result) {
        return tl::unexpected(result.error());
    }
    if (!result->committed) {
        return failure(ErrorKind::Conflict, "claims.sweep", "a claim changed during its removal; the group is left for the next step");
    }
    return claims->size();
}

Result<std::vector<Claim>> ClaimSweeper::readClaims(const std::vector<ClaimReference> &references)
{
    std::vector<Claim> claims;
    for (const auto &it : references) {
        const auto row = m_table.get(claimRowKey(it.key));
        if (!row) {
            return tl::unexpected(row.error());
        }
        if (!*row) {
            continue;
        }
        auto claim = claimFromRow(it.key, **row);
        if (!claim) {
            return tl::unexpected(claim.error());
        }
        // A released key may have been claimed again; that claim is listed in a group of its own.
        if (claim->claimId == it.claimId) {
            claims.push_back(std::move(*claim));
        }
    }
    return claims;
}

Result<void> ClaimSweeper::removeBodies(const std::vector<Claim> &claims)
{
    for (const auto &it : claims) {
        if (it.outcome && it.outcome->bodyObject.empty()) {
            continue;
        }
        // A claim without an outcome may have an object: its owner died between writing the object and the row.
        if (auto removed = m_objects.remove(bodyObjectKey(it.claimId)); !removed) {
            return removed;
        }
    }
    return {};
}

} // namespace Pimentohollow
