#pragma once

#include "core/error.h"
#include "core/names.h"
#include "messages/gossip/gossipupdate.h"
#include "quota/bucket/quotaledger.h"
#include "storage/interfaces/tableservice.h"

#include <array>
#include <cstdint>
#include <string>

namespace Pimentohollow
{

/** Who owns a share; free if @ref owner is empty. */
struct ShareEntry {
    NodeName owner;
    /** Address and UDP port of the owner: a new process there proves that the old one is dead. */
    std::string host;
    std::uint16_t port = 0;
    std::uint64_t incarnation = 0;
    /** Differs in each write of the owner, so that others see that the lease was renewed. */
    std::uint64_t renewal = 0;
    /** Number of data centres by which the owner divides. */
    std::uint32_t split = 0;

    bool free() const
    {
        return owner.empty();
    }

    bool operator==(const ShareEntry &) const = default;
};

/**
 * The platform's row of the shares of one data centre. Each write replaces the whole row on the condition that its
 * revision is unchanged, so that of two writes from the same state only one takes effect.
 */
struct ShareRow {
    static constexpr const char *Partition = "quota/shares";

    std::int64_t revision = 0;
    /** Unique id of the last write, by which a writer recognises its own after a lost answer. */
    std::string writer;
    /** Smallest number by which owners of this data centre divide; grows at once, shrinks only when safe. */
    std::uint32_t split = 0;
    /** Whether owners may mint; set when all other data centres are known to divide by enough. */
    bool active = false;
    std::array<ShareEntry, SharesPerDataCentre> entries;

    bool operator==(const ShareRow &) const = default;

    /** Whether every owner, now or later, divides by at least @p dataCentres. */
    bool dividesBy(std::uint32_t dataCentres) const;

    /** Whether no share can mint: nothing is owned and the row isn't active. */
    bool closed() const;

    Row toRow() const;

    /** Error: InvalidInput if the row isn't one of shares. */
    static Result<ShareRow> fromRow(const Row &row);

    static RowKey key(const DataCentreName &dataCentre);
};

} // namespace Pimentohollow
