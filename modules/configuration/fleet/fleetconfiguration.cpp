#include "configuration/fleet/fleetconfiguration.h"

#include "configuration/fleet/entitycodec.h"
#include "configuration/fleet/entityfields.h"
#include "parsing/fieldreader.h"
#include "parsing/fieldwriter.h"
#include "parsing/textfile.h"

namespace Pimentohollow
{

namespace
{

template <typename Map>
void append(std::vector<Entity> &entities, const Map &map)
{
    for (const auto &it : map) {
        entities.emplace_back(it.second);
    }
}

/** Puts an entity into the map of its kind. */
struct Upsert {
    FleetConfiguration &fleet;

    void operator()(const ServiceEntity &it) const
    {
        fleet.services[it.name] = it;
    }
    void operator()(const RouteEntity &it) const
    {
        fleet.routes[it.name] = it;
    }
    void operator()(const AccountEntity &it) const
    {
        fleet.accounts[it.name] = it;
    }
    void operator()(const DataCentreEntity &it) const
    {
        fleet.dataCentres[it.name] = it;
    }
    void operator()(const DefaultsEntity &it) const
    {
        fleet.defaults = it;
    }
    void operator()(const ExceptionEntity &it) const
    {
        fleet.exceptions[it.name] = it;
    }
    void operator()(const KeyEntity &it) const
    {
        fleet.keys[it.id] = it;
    }
    void operator()(const DrainEntity &it) const
    {
        fleet.drains[it.node] = it;
    }
};

template <typename T>
T readEntity(FieldReader &reader)
{
    T entity;
    describeFields(reader, entity, entity);
    reader.finish();
    return entity;
}

/** Reads the sections of a fleet document and remembers where each entity stands. */
class FleetReader
{
public:
    FleetReader(const std::string &file, Findings &findings)
        : m_file(file)
        , m_findings(findings)
    {
    }

    void read(FieldReader &document, DocumentScope scope)
    {
        if (document.has("defaults")) {
            document.section("defaults", [this](FieldReader &section) {
                m_fleet.defaults = DefaultsEntity();
                describeFields(section, m_fleet.defaults, m_fleet.defaults);
                m_places[{ EntityKind::Defaults, DefaultsName }] = { "defaults", section.line(), section.fieldLines() };
            });
        }
        readList<ServiceEntity>(document, "services");
        readList<RouteEntity>(document, "routes");
        readList<AccountEntity>(document, "accounts");
        readList<DataCentreEntity>(document, "data_centres");
        readList<ExceptionEntity>(document, "exceptions");
        readManaged<KeyEntity>(document, "keys", scope, "keys are managed by 'pimentohollowctl key' and can't stand in this document");
        readManaged<DrainEntity>(
            document, "drains", scope, "drains are managed by 'pimentohollowctl node' and can't stand in this document");
    }

    const FleetConfiguration &fleet() const
    {
        return m_fleet;
    }

    const EntityPlaces &places() const
    {
        return m_places;
    }

private:
    template <typename T>
    void readList(FieldReader &document, const std::string &field)
    {
        document.forEach(field, [this](const YAML::Node &node, const std::string &path) {
            FieldReader reader(node, path, m_file, m_findings);
            const Entity entity = readEntity<T>(reader);
            const EntityId id = entityId(entity);
            if (const auto it = m_places.find(id); it != m_places.end() && !id.name.empty()) {
                const std::string message = "has the same name as " + it->second.path + " at line " + std::to_string(it->second.line);
                m_findings.push_back({ m_file, reader.line(), path, message });
                return;
            }
            m_places[id] = { path, reader.line(), reader.fieldLines() };
            m_fleet.upsert(entity);
        });
    }

    template <typename T>
    void readManaged(FieldReader &document, const std::string &field, DocumentScope scope, const std::string &message)
    {
        if (scope == DocumentScope::Declared && document.has(field)) {
            document.reportField(field, message);
        }
        readList<T>(document, field);
    }

    const std::string &m_file;
    Findings &m_findings;
    FleetConfiguration m_fleet;
    EntityPlaces m_places;
};

template <typename T>
void writeFields(YAML::Emitter &emitter, const T &entity)
{
    FieldWriter writer(emitter);
    describeFields(writer, entity, entity);
    writer.finish();
}

template <typename Map>
void writeList(YAML::Emitter &emitter, const char *field, const Map &map)
{
    if (map.empty()) {
        return;
    }
    emitter << YAML::Key << field << YAML::Value << YAML::BeginSeq;
    for (const auto &it : map) {
        writeFields(emitter, it.second);
    }
    emitter << YAML::EndSeq;
}

} // namespace

std::vector<Entity> FleetConfiguration::entities() const
{
    std::vector<Entity> result;
    append(result, services);
    append(result, routes);
    append(result, accounts);
    append(result, dataCentres);
    result.emplace_back(defaults);
    append(result, exceptions);
    append(result, keys);
    append(result, drains);
    return result;
}

void FleetConfiguration::upsert(const Entity &entity)
{
    std::visit(Upsert{ *this }, entity);
}

bool FleetConfiguration::remove(const EntityId &id)
{
    switch (id.kind) {
    case EntityKind::Service:
        return services.erase(ServiceName(id.name)) > 0;
    case EntityKind::Route:
        return routes.erase(RouteName(id.name)) > 0;
    case EntityKind::Account:
        return accounts.erase(AccountName(id.name)) > 0;
    case EntityKind::DataCentre:
        return dataCentres.erase(DataCentreName(id.name)) > 0;
    case EntityKind::Defaults:
        defaults = DefaultsEntity();
        return true;
    case EntityKind::Exception:
        return exceptions.erase(ExceptionName(id.name)) > 0;
    case EntityKind::Key:
        return keys.erase(KeyId(id.name)) > 0;
    case EntityKind::Drain:
        return drains.erase(NodeName(id.name)) > 0;
    }
    return false;
}

Parsed<FleetConfiguration> parseFleet(const std::string &text, const std::string &file, DocumentScope scope)
{
    Findings findings;
    FleetReader fleet(file, findings);
    if (const auto document = parseYaml(text, file, findings)) {
        FieldReader reader(*document, "", file, findings);
        fleet.read(reader, scope);
        reader.finish();
    }
    // Relations between entities that were misread would give misleading findings.
    if (findings.empty()) {
        findings = checkFleet(fleet.fleet(), file, fleet.places());
    }
    if (!findings.empty()) {
        return tl::make_unexpected(findings);
    }
    return fleet.fleet();
}

Parsed<FleetConfiguration> loadFleet(const std::string &path)
{
    const auto text = readTextFile(path);
    if (!text) {
        return tl::make_unexpected(Findings{ { path, 0, "", "the file can't be read" } });
    }
    return parseFleet(*text, path, DocumentScope::Declared);
}

std::string writeFleet(const FleetConfiguration &fleet)
{
    YAML::Emitter emitter;
    emitter << YAML::BeginMap;
    emitter << YAML::Key << "defaults" << YAML::Value;
    writeFields(emitter, fleet.defaults);
    writeList(emitter, "services", fleet.services);
    writeList(emitter, "routes", fleet.routes);
    writeList(emitter, "accounts", fleet.accounts);
    writeList(emitter, "data_centres", fleet.dataCentres);
    writeList(emitter, "exceptions", fleet.exceptions);
    writeList(emitter, "keys", fleet.keys);
    writeList(emitter, "drains", fleet.drains);
    emitter << YAML::EndMap;
    return std::string(emitter.c_str()) + "\n";
}

std::string writeEntity(const Entity &entity)
{
    YAML::Emitter emitter;
    FieldWriter writer(emitter);
    writeEntityFields(entity, writer);
    writer.finish();
    return emitter.c_str();
}

Parsed<Entity> parseEntity(EntityKind kind, const std::string &text, const std::string &file)
{
    Findings findings;
    const auto document = parseYaml(text, file, findings);
    if (!document) {
        return tl::make_unexpected(findings);
    }
    FieldReader reader(*document, "", file, findings);
    const Entity entity = readEntityFields(kind, reader);
    reader.finish();
    if (!findings.empty()) {
        return tl::make_unexpected(findings);
    }
    return entity;
}

} // namespace Pimentohollow
