#include "claims/execution/claimexecutor.h"

namespace Pimentohollow
{

ClaimExecutor::ClaimExecutor(TableService &table, ObjectStore &objects)
    : m_table(table)
    , m_objects(objects)
{
}

BatchResult ClaimExecutor::perform(const BatchOperation &operation)
{
    if (const auto *commit = std::get_if<CommitGroup>(&operation)) {
        return m_table.transact(commit->operations, commit->token);
    }
    ReadBackResult rows;
    for (const auto &it : std::get<ReadBack>(operation).keys) {
        auto claim = read(it);
        if (!claim) {
            return Result<ReadBackResult>(tl::unexpected(claim.error()));
        }
        rows.claims.push_back(std::move(*claim));
    }
    return Result<ReadBackResult>(std::move(rows));
}

StoreResult ClaimExecutor::perform(const StoreOperation &operation)
{
    if (const auto *it = std::get_if<ReadClaim>(&operation)) {
        return ClaimRead{ it->ticket, read(it->key) };
    }
    if (const auto *it = std::get_if<ReadBody>(&operation)) {
        return BodyRead{ it->ticket, m_objects.get(it->object) };
    }
    const auto &put = std::get<WriteBody>(operation);
    return BodyWritten{ put.claimId, m_objects.put(put.object, put.body) };
}

Result<std::optional<Claim>> ClaimExecutor::read(const ClaimKey &key)
{
    auto row = m_table.get(claimRowKey(key));
    if (!row) {
        return tl::unexpected(row.error());
    }
    if (!*row) {
        return std::optional<Claim>();
    }
    auto claim = claimFromRow(key, **row);
    if (!claim) {
        return tl::unexpected(claim.error());
    }
    return std::optional<Claim>(std::move(*claim));
}

void exchangeItems(ClaimRegistry &registry, ClaimBatcher &batcher)
{
    for (auto &it : registry.takeItems()) {
        batcher.submit(std::move(it));
    }
    for (const auto &it : batcher.takeResults()) {
        registry.onItemResult(it);
    }
}

void runClaims(ClaimRegistry &registry, ClaimBatcher &batcher, ClaimExecutor &executor)
{
    for (bool busy = true; busy;) {
        busy = false;
        registry.tick();
        exchangeItems(registry, batcher);
        if (const auto operation = batcher.next()) {
            batcher.complete(executor.perform(*operation));
            busy = true;
        }
        exchangeItems(registry, batcher);
        if (const auto operation = registry.nextStoreOperation()) {
            registry.onStoreResult(executor.perform(*operation));
            busy = true;
        }
    }
    exchangeItems(registry, batcher);
}

} // namespace Pimentohollow
