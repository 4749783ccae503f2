#include "configuration/changes/fleetchange.h"

#include "configuration/fleet/entitycodec.h"

#include <fmt/format.h>
#include <map>

namespace Pimentohollow
{

namespace
{

std::map<EntityId, Entity> byId(const FleetConfiguration &fleet)
{
    std::map<EntityId, Entity> result;
    for (auto &it : fleet.entities()) {
        result.emplace(entityId(it), it);
    }
    return result;
}

const KeyEntity *withdrawnKey(const FleetConfiguration &fleet, const EntityId &id)
{
    if (id.kind != EntityKind::Key) {
        return nullptr;
    }
    const auto it = fleet.keys.find(KeyId(id.name));
    return it != fleet.keys.end() && it->second.withdrawn ? &it->second : nullptr;
}

/** A withdrawn key stays as it is: neither a change nor a removal may bring it back into use. */
void checkWithdrawals(const FleetConfiguration &base, const FleetChange &change, Findings &findings)
{
    for (const auto &it : change.upserts) {
        const KeyEntity *withdrawn = withdrawnKey(base, entityId(it));
        if (withdrawn != nullptr && std::get<KeyEntity>(it) != *withdrawn) {
            findings.push_back({ "change", 0, entityId(it).text(), "the key is withdrawn and can't be changed any more" });
        }
    }
    for (const auto &it : change.removals) {
        if (withdrawnKey(base, it) != nullptr) {
            findings.push_back({ "change", 0, it.text(), "the key is withdrawn and can't be removed" });
        }
    }
}

void readUpserts(FieldReader &document, const std::string &file, Findings &findings, FleetChange &change)
{
    document.forEach("upserts", [&](const YAML::Node &node, const std::string &path) {
        FieldReader reader(node, path, file, findings);
        EntityKind kind = EntityKind::Service;
        reader.choice("kind", kind, EntityKindNames);
        reader.section("entity", [&](FieldReader &entity) {
            change.upserts.push_back(readEntityFields(kind, entity));
        });
        reader.finish();
    });
}

void readRemovals(FieldReader &document, const std::string &file, Findings &findings, FleetChange &change)
{
    document.forEach("removals", [&](const YAML::Node &node, const std::string &path) {
        FieldReader reader(node, path, file, findings);
        EntityId id;
        reader.choice("kind", id.kind, EntityKindNames);
        reader.required("name", id.name);
        reader.finish();
        change.removals.push_back(id);
    });
}

} // namespace

bool FleetChange::empty() const
{
    return upserts.empty() && removals.empty();
}

std::vector<std::string> FleetChange::describe() const
{
    std::vector<std::string> lines;
    for (const auto &it : upserts) {
        lines.push_back(fmt::format("set {} {}", entityId(it).text(), writeEntity(it)));
    }
    for (const auto &it : removals) {
        lines.push_back("remove " + it.text());
    }
    return lines;
}

FleetChange diffFleets(const FleetConfiguration &base, const FleetConfiguration &target)
{
    const auto before = byId(base);
    const auto after = byId(target);
    FleetChange change;
    for (const auto &[id, entity] : after) {
        const auto it = before.find(id);
        if (it == before.end() || it->second != entity) {
            change.upserts.push_back(entity);
        }
    }
    for (const auto &it : before) {
        if (!after.contains(it.first)) {
            change.removals.push_back(it.first);
        }
    }
    return change;
}

FleetConfiguration withManagedEntities(FleetConfiguration target, const FleetConfiguration &base)
{
    target.keys = base.keys;
    target.drains = base.drains;
    return target;
}

Parsed<VersionedFleet> applyChange(const VersionedFleet &base, const FleetChange &change)
{
    Findings findings;
    if (change.version != base.version + 1) {
        findings.push_back({ "change", 0, "version", fmt::format("is {}, but the version before is {}", change.version, base.version) });
        return tl::make_unexpected(findings);
    }
    checkWithdrawals(base.fleet, change, findings);
    VersionedFleet result{ change.version, base.fleet };
    for (const auto &it : change.removals) {
        if (!result.fleet.remove(it)) {
            findings.push_back({ "change", 0, it.text(), "can't be removed, because it doesn't exist" });
        }
    }
    for (const auto &it : change.upserts) {
        result.fleet.upsert(it);
    }
    const Findings checked = checkFleet(result.fleet, "change");
    findings.insert(findings.end(), checked.begin(), checked.end());
    if (!findings.empty()) {
        return tl::make_unexpected(findings);
    }
    return result;
}

std::string writeChange(const FleetChange &change)
{
    YAML::Emitter emitter;
    FieldWriter writer(emitter);
    writer.required("version", change.version);
    writer.required("change_id", change.changeId);
    writer.required("author", change.author);
    writer.required("time", change.time);
    writer.required("reason", change.reason);
    writer.forEach("upserts", change.upserts, [](FieldWriter &fields, const Entity &entity) {
        fields.choice("kind", entityId(entity).kind, EntityKindNames);
        fields.section("entity", [&entity](FieldWriter &section) {
            writeEntityFields(entity, section);
        });
    });
    writer.forEach("removals", change.removals, [](FieldWriter &fields, const EntityId &id) {
        fields.choice("kind", id.kind, EntityKindNames);
        fields.required("name", id.name);
    });
    writer.finish();
    return emitter.c_str();
}

Parsed<FleetChange> parseChange(const std::string &text, const std::string &file)
{
    Findings findings;
    FleetChange change;
    if (const auto document = parseYaml(text, file, findings)) {
        FieldReader reader(*document, "", file, findings);
        reader.required("version", change.version, Range{ 1, 1e18 });
        reader.required("change_id", change.changeId);
        reader.required("author", change.author);
        reader.required("time", change.time);
        reader.required("reason", change.reason);
        readUpserts(reader, file, findings, change);
        readRemovals(reader, file, findings, change);
        reader.finish();
    }
    if (!findings.empty()) {
        return tl::make_unexpected(findings);
    }
    return change;
}

} // namespace Pimentohollow
