#include "audit/auditchain.h"

#include <fmt/format.h>

namespace Pimentohollow
{

namespace
{

std::string orderMessage(std::uint64_t expected, std::uint64_t found)
{
    if (found > expected + 1) {
        return fmt::format("entries {} to {} are missing before entry {}", expected, found - 1, found);
    }
    if (found > expected) {
        return fmt::format("entry {} is missing before entry {}", expected, found);
    }
    return fmt::format("entry {} is out of order or repeated: entry {} was expected", found, expected);
}

} // namespace

AuditChain::AuditChain(std::vector<AuditEntry> entries)
    : m_entries(std::move(entries))
{
}

const std::vector<AuditEntry> &AuditChain::entries() const
{
    return m_entries;
}

std::vector<AuditFinding> AuditChain::verify(const AuditAnchor &anchor) const
{
    std::vector<AuditFinding> findings;
    std::uint64_t version = anchor.firstVersion;
    std::string hash = anchor.firstHash;
    for (const auto &it : m_entries) {
        if (it.version != version + 1) {
            findings.push_back({ it.version, orderMessage(version + 1, it.version) });
        } else if (it.previousHash != hash) {
            findings.push_back(
                { it.version, fmt::format("entry {} does not follow entry {}: one of them was edited", it.version, version) });
        }
        if (entryHash(it) != it.hash) {
            findings.push_back({ it.version, fmt::format("entry {} was edited: its hash does not match its content", it.version) });
        }
        version = it.version;
        hash = it.hash;
    }
    if (version < anchor.lastVersion) {
        findings.push_back({ version + 1, fmt::format("entries {} to {} are missing at the end", version + 1, anchor.lastVersion) });
    } else if (version > anchor.lastVersion) {
        findings.push_back({ version, fmt::format("entry {} is later than the head, which is at {}", version, anchor.lastVersion) });
    } else if (hash != anchor.lastHash) {
        findings.push_back({ version, fmt::format("entry {} was edited: its hash is not the one in the head", version) });
    }
    return findings;
}

std::string AuditChain::exportLines() const
{
    std::string text;
    for (const auto &it : m_entries) {
        text += writeEntry(it);
        text += '\n';
    }
    return text;
}

} // namespace Pimentohollow
