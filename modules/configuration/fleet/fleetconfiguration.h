#pragma once

#include "configuration/fleet/entities.h"
#include "parsing/finding.h"

#include <map>
#include <string>

namespace Pimentohollow
{

/**
 * The fleet document: everything that all nodes share. A plain value without version; see FleetView for lookups.
 */
struct FleetConfiguration {
    DefaultsEntity defaults;
    std::map<ServiceName, ServiceEntity> services;
    std::map<RouteName, RouteEntity> routes;
    std::map<AccountName, AccountEntity> accounts;
    std::map<DataCentreName, DataCentreEntity> dataCentres;
    std::map<ExceptionName, ExceptionEntity> exceptions;
    std::map<KeyId, KeyEntity> keys;
    std::map<NodeName, DrainEntity> drains;

    /** All entities, ordered by EntityId. */
    std::vector<Entity> entities() const;

    /** Adds the entity, replacing the one with its id. */
    void upsert(const Entity &entity);

    /** False if there is no such entity. The defaults can't be removed: they return to their initial values. */
    bool remove(const EntityId &id);

    bool operator==(const FleetConfiguration &) const = default;
};

/** Where an entity stands in a document. */
struct EntityPlace {
    std::string path;
    int line = 0;
    std::map<std::string, int> fieldLines;
};

/** For findings about relations between entities. */
using EntityPlaces = std::map<EntityId, EntityPlace>;

/** What a fleet document may contain. */
enum class DocumentScope {
    Declared, ///< written by operators; keys and drains are managed by commands and are not allowed
    Complete, ///< a snapshot with all entities
};

/** Reads a fleet document, including checkFleet(). All faults are reported at once, and unknown fields are faults. */
Parsed<FleetConfiguration> parseFleet(const std::string &text, const std::string &file, DocumentScope scope);

/** Reads and parses a document that an operator wrote. */
Parsed<FleetConfiguration> loadFleet(const std::string &path);

/** The canonical text of a complete document; parseFleet() gives back the same value. */
std::string writeFleet(const FleetConfiguration &fleet);

/**
 * Checks everything that holds between fields and between entities, such as a route that names an unknown service.
 * @param places where the entities are in @p file; findings about others have no line
 */
Findings checkFleet(const FleetConfiguration &fleet, const std::string &file = "fleet", const EntityPlaces &places = {});

/** One entity as a canonical flow-style YAML map, for change records and reports. */
std::string writeEntity(const Entity &entity);

/** Reads what writeEntity() wrote. */
Parsed<Entity> parseEntity(EntityKind kind, const std::string &text, const std::string &file);

} // namespace Pimentohollow
