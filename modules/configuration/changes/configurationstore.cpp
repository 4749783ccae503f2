#include "configuration/changes/configurationstore.h"

#include "parsing/scalars.h"

#include <fmt/format.h>

namespace Pimentohollow
{

namespace
{

constexpr const char *LoadStep = "configuration.load";
constexpr const char *ApplyStep = "configuration.apply";
constexpr const char *HeadPartition = "config";
constexpr const char *ChangePartition = "config/change";
constexpr const char *AuditPartition = "audit";
constexpr std::size_t PageRows = 200;
/** Rows of the table service hold at most 400 KB. */
constexpr std::size_t MaximumChangeBytes = 350'000;
/** Attempts of one transaction with the same token after lost answers. */
constexpr int CommitAttempts = 3;
/** Older snapshots tried when the latest is missing, before all changes are read from the beginning. */
constexpr std::uint64_t SnapshotAttempts = 5;

/** Sort keys of the same length, so that their order is that of the versions. */
std::string versionKey(std::uint64_t version)
{
    return fmt::format("{:020}", version);
}

std::string snapshotKey(std::uint64_t version)
{
    return "config/snapshot/" + versionKey(version);
}

std::string textOf(const Row &row, const std::string &attribute)
{
    const auto it = row.find(attribute);
    const auto *text = it == row.end() ? nullptr : std::get_if<std::string>(&it->second);
    return text == nullptr ? std::string() : *text;
}

std::uint64_t numberOf(const Row &row, const std::string &attribute)
{
    const auto it = row.find(attribute);
    const auto *number = it == row.end() ? nullptr : std::get_if<std::int64_t>(&it->second);
    return number == nullptr || *number < 0 ? 0 : static_cast<std::uint64_t>(*number);
}

tl::unexpected<Error> invalid(const char *step, const Findings &findings)
{
    return failure(ErrorKind::InvalidInput, step, describe(findings));
}

/** A record on the platform that can't be right; people have to look at it. */
tl::unexpected<Error> damaged(const std::string &message)
{
    return failure(ErrorKind::Internal, LoadStep, message);
}

Result<FleetChange> changeOf(const KeyedRow &row)
{
    auto change = parseChange(textOf(row.row, "change"), "change/" + row.key.sort);
    if (!change) {
        return damaged(describe(change.error()));
    }
    if (versionKey(change->version) != row.key.sort) {
        return damaged(fmt::format("the row {} holds the change of version {}", row.key.sort, change->version));
    }
    return std::move(*change);
}

AuditEntry auditEntryOf(const FleetChange &change, const std::string &previousHash)
{
    AuditEntry entry;
    entry.version = change.version;
    entry.author = change.author;
    entry.time = formatTime(change.time);
    entry.changeId = change.changeId;
    entry.reason = change.reason;
    entry.changes = change.describe();
    return sealEntry(std::move(entry), previousHash);
}

std::vector<TableOperation> commitOperations(const FleetChange &change, const StoredHead &head)
{
    const AuditEntry entry = auditEntryOf(change, head.auditHash);
    const auto version = static_cast<std::int64_t>(change.version);
    RowCondition isBase = AttributeEquals{ "version", static_cast<std::int64_t>(head.version) };
    if (head.version == 0) {
        isBase = RowAbsent();
    }
    return {
        PutRow{
            { HeadPartition, "head" }, { { "version", version }, { "change_id", change.changeId }, { "audit_hash", entry.hash } }, isBase },
        PutRow{ { ChangePartition, versionKey(change.version) },
                { { "change_id", change.changeId }, { "change", writeChange(change) } },
                RowAbsent() },
        PutRow{ { AuditPartition, versionKey(change.version) }, { { "entry", writeEntry(entry) } }, RowAbsent() },
    };
}

} // namespace

ConfigurationStore::ConfigurationStore(TableService &table, ObjectStore &objects)
    : m_table(table)
    , m_objects(objects)
{
}

Result<StoredHead> ConfigurationStore::head()
{
    const auto row = m_table.get({ HeadPartition, "head" });
    if (!row) {
        return tl::make_unexpected(row.error());
    }
    if (!*row) {
        return StoredHead();
    }
    StoredHead head{ numberOf(**row, "version"), textOf(**row, "change_id"), textOf(**row, "audit_hash") };
    if (head.version == 0) {
        return damaged("the head has no version");
    }
    return head;
}

Result<VersionedFleet> ConfigurationStore::load()
{
    const auto newest = head();
    if (!newest) {
        return tl::make_unexpected(newest.error());
    }
    auto fleet = loadSnapshot(newest->version);
    while (fleet && fleet->version < newest->version) {
        const auto page = changes(fleet->version, newest->version, PageRows);
        if (!page) {
            return tl::make_unexpected(page.error());
        }
        for (const auto &it : *page) {
            auto next = applyChange(*fleet, it);
            if (!next) {
                return damaged(describe(next.error()));
            }
            *fleet = std::move(*next);
        }
    }
    return fleet;
}

Result<VersionedFleet> ConfigurationStore::loadSnapshot(std::uint64_t head)
{
    std::uint64_t version = head / SnapshotInterval * SnapshotInterval;
    for (std::uint64_t n = 0; n < SnapshotAttempts && version > 0; ++n) {
        const auto object = m_objects.get(snapshotKey(version));
        if (!object) {
            return tl::make_unexpected(object.error());
        }
        if (*object) {
            auto fleet = parseFleet(**object, snapshotKey(version), DocumentScope::Complete);
            return fleet ? Result<VersionedFleet>(VersionedFleet{ version, std::move(*fleet) }) : damaged(describe(fleet.error()));
        }
        version -= SnapshotInterval;
    }
    return VersionedFleet();
}

Result<std::vector<FleetChange>> ConfigurationStore::changes(std::uint64_t after, std::uint64_t last, std::size_t limit)
{
    const auto rows = m_table.query(ChangePartition, versionKey(after + 1), versionKey(last), limit);
    if (!rows) {
        return tl::make_unexpected(rows.error());
    }
    std::vector<FleetChange> result;
    for (const auto &it : *rows) {
        auto change = changeOf(it);
        if (!change) {
            return tl::make_unexpected(change.error());
        }
        if (change->version != after + result.size() + 1) {
            return damaged(fmt::format("the change of version {} is missing", after + result.size() + 1));
        }
        result.push_back(std::move(*change));
    }
    if (result.empty() && after < last && limit > 0) {
        return damaged(fmt::format("the change of version {} is missing", after + 1));
    }
    return result;
}

Result<std::optional<FleetChange>> ConfigurationStore::change(std::uint64_t version)
{
    const RowKey key{ ChangePartition, versionKey(version) };
    const auto row = m_table.get(key);
    if (!row) {
        return tl::make_unexpected(row.error());
    }
    if (!*row) {
        return std::optional<FleetChange>();
    }
    auto change = changeOf({ key, **row });
    return change ? Result<std::optional<FleetChange>>(std::move(*change)) : tl::make_unexpected(change.error());
}

Result<ApplyOutcome> ConfigurationStore::apply(const VersionedFleet &base, const FleetChange &change)
{
    const auto fleet = applyChange(base, change);
    if (!fleet) {
        return invalid(ApplyStep, fleet.error());
    }
    // Reading it back here keeps a change off the platform that nodes would refuse.
    const std::string text = writeChange(change);
    if (const auto again = parseChange(text, "change"); !again) {
        return invalid(ApplyStep, again.error());
    }
    if (text.size() > MaximumChangeBytes) {
        const auto message = fmt::format("the change has {} bytes, more than {}; apply it in parts", text.size(), MaximumChangeBytes);
        return failure(ErrorKind::InvalidInput, ApplyStep, message);
    }
    const auto newest = head();
    if (!newest) {
        // Nothing but a read so far, so that a lost answer leaves no doubt.
        const ErrorKind kind = newest.error().kind;
        const bool lost = kind == ErrorKind::Timeout || kind == ErrorKind::OutcomeUnknown;
        return failure(lost ? ErrorKind::Unavailable : kind, ApplyStep, newest.error().message, newest.error().peer);
    }
    if (newest->version != base.version) {
        return conflict(change);
    }
    auto outcome = commit(change, *newest);
    if (outcome && outcome->applied && change.version % SnapshotInterval == 0) {
        writeSnapshot(*fleet);
    }
    return outcome;
}

Result<ApplyOutcome> ConfigurationStore::commit(const FleetChange &change, const StoredHead &head)
{
    const auto operations = commitOperations(change, head);
    Error lost;
    for (int n = 0; n < CommitAttempts; ++n) {
        const auto result = m_table.transact(operations, change.changeId);
        if (result && result->committed) {
            return ApplyOutcome{ true, change.version, std::nullopt };
        }
        if (result) {
            return conflict(change);
        }
        const bool mayBeWritten = result.error().kind == ErrorKind::Timeout || result.error().kind == ErrorKind::OutcomeUnknown;
        if (!mayBeWritten && n == 0) {
            return tl::make_unexpected(result.error());
        }
        lost = result.error();
        const auto stored = this->change(change.version);
        if (stored && *stored) {
            return conflict(change);
        }
        // Not there yet: the write may still be under way. The token makes another attempt harmless.
    }
    const auto message = fmt::format("the change {} may be in force as version {}: {}", change.changeId, change.version, lost.message);
    return failure(ErrorKind::OutcomeUnknown, ApplyStep, message, lost.peer);
}

Result<ApplyOutcome> ConfigurationStore::conflict(const FleetChange &change)
{
    const auto stored = this->change(change.version);
    if (!stored) {
        const auto message =
            fmt::format("version {} is taken, but by which change can't be read: {}", change.version, stored.error().message);
        return failure(ErrorKind::OutcomeUnknown, ApplyStep, message, stored.error().peer);
    }
    if (!*stored) {
        // The head is behind the base: the base did not come from this platform.
        return failure(ErrorKind::InvalidInput, ApplyStep, fmt::format("version {} is not in the table", change.version - 1));
    }
    const bool own = (*stored)->changeId == change.changeId;
    return ApplyOutcome{ own, change.version, own ? std::nullopt : *stored };
}

void ConfigurationStore::writeSnapshot(const VersionedFleet &fleet)
{
    // A snapshot only shortens loading; without it, load() uses an older one and more changes.
    static_cast<void>(m_objects.put(snapshotKey(fleet.version), writeFleet(fleet.fleet)));
}

Result<std::vector<AuditEntry>> ConfigurationStore::auditEntries(std::uint64_t after, std::uint64_t last)
{
    std::vector<AuditEntry> entries;
    std::string first = versionKey(after + 1);
    while (true) {
        const auto rows = m_table.query(AuditPartition, first, versionKey(last), PageRows);
        if (!rows) {
            return tl::make_unexpected(rows.error());
        }
        for (const auto &it : *rows) {
            const auto entry = parseEntry(textOf(it.row, "entry"));
            // An unreadable entry keeps its place, so that verification names it.
            entries.push_back(entry ? *entry : AuditEntry{ std::stoull("0" + it.key.sort), "", "", "", "", {}, "", "unreadable" });
        }
        if (rows->size() < PageRows) {
            return entries;
        }
        first = rows->back().key.sort + " ";
    }
}

} // namespace Pimentohollow
