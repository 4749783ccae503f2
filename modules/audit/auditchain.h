#pragma once

#include "audit/auditentry.h"

#include <string>
#include <vector>

namespace Pimentohollow
{

/** A fault in the chain, named by the entry at which it shows. */
struct AuditFinding {
    std::uint64_t version = 0;
    std::string message;

    bool operator==(const AuditFinding &) const = default;
};

/** Where a chain must begin and end; from the head of the configuration, or from an earlier export. */
struct AuditAnchor {
    /** Version and hash before the first entry; zero and empty for a whole chain. */
    std::uint64_t firstVersion = 0;
    std::string firstHash;
    /** Version and hash of the last entry; they show entries that were cut off at the end. */
    std::uint64_t lastVersion = 0;
    std::string lastHash;
};

/** The entries in the order in which they were read; a fault isn't repaired but reported. */
class AuditChain
{
public:
    explicit AuditChain(std::vector<AuditEntry> entries);

    const std::vector<AuditEntry> &entries() const;

    /**
     * Finds every entry that was removed, edited, added or moved.
     * An attacker who can rewrite the whole chain and its anchor isn't found here: compare with an earlier export.
     */
    std::vector<AuditFinding> verify(const AuditAnchor &anchor) const;

    /** One JSON object per line, for an auditor. */
    std::string exportLines() const;

private:
    std::vector<AuditEntry> m_entries;
};

} // namespace Pimentohollow
