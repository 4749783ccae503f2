#pragma once

#include "claims/batching/claimbatcher.h"
#include "claims/registry/claimregistry.h"
#include "storage/interfaces/objectstore.h"
#include "storage/interfaces/tableservice.h"

namespace Pimentohollow
{

/**
 * Performs the operations of the claims' state machines, one blocking call to the platform after the other.
 * Holds no state, so that several threads may use one executor, for example one for commits and one for lookups.
 */
class ClaimExecutor
{
public:
    ClaimExecutor(TableService &table, ObjectStore &objects);

    BatchResult perform(const BatchOperation &operation);
    StoreResult perform(const StoreOperation &operation);

private:
    Result<std::optional<Claim>> read(const ClaimKey &key);

    TableService &m_table;
    ObjectStore &m_objects;
};

/** Hands the items of @p registry to @p batcher and its results back, without input or output. */
void exchangeItems(ClaimRegistry &registry, ClaimBatcher &batcher);

/** Runs everything that can be done now, in one thread; for tests and for nodes whose claims have a thread of their own. */
void runClaims(ClaimRegistry &registry, ClaimBatcher &batcher, ClaimExecutor &executor);

} // namespace Pimentohollow
