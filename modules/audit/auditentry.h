#pragma once

#include "core/error.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Pimentohollow
{

/** One accepted change of the fleet configuration, as an auditor reads it. */
struct AuditEntry {
    /** Version of the configuration that the change made; entries are numbered by it without gaps, from 1. */
    std::uint64_t version = 0;
    /** The operator. */
    std::string author;
    /** UTC in RFC 3339, on the clock of the machine that made the change. */
    std::string time;
    /** Unique id of the change. */
    std::string changeId;
    std::string reason;
    /** One line for each entity: "set account/florist {...}" or "remove route/old". */
    std::vector<std::string> changes;
    /** Hash of the entry before; empty for the first. */
    std::string previousHash;
    /** Hash of this entry, see entryHash(). */
    std::string hash;

    bool operator==(const AuditEntry &) const = default;
};

/** Hex SHA-256 over all fields but the hash itself. Lengths precede the values, so that no two entries share an input. */
std::string entryHash(const AuditEntry &entry);

/** Fills in the previous hash and the hash. */
AuditEntry sealEntry(AuditEntry entry, const std::string &previousHash);

/** One line of JSON, without line break. */
std::string writeEntry(const AuditEntry &entry);

/** InvalidInput if the text isn't such a line; the hash isn't checked here. */
Result<AuditEntry> parseEntry(const std::string &text);

} // namespace Pimentohollow
