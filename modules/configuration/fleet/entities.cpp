#include "configuration/fleet/entities.h"

namespace Pimentohollow
{

namespace
{

template <typename T>
const std::string &nameOf(const T &entity)
{
    return entity.name.text();
}

const std::string &nameOf(const KeyEntity &entity)
{
    return entity.id.text();
}

const std::string &nameOf(const DrainEntity &entity)
{
    return entity.node.text();
}

std::string nameOf(const DefaultsEntity &)
{
    return DefaultsName;
}

} // namespace

std::string EntityId::text() const
{
    return std::string(EntityKindNames.name(kind)) + "/" + name;
}

EntityId entityId(const Entity &entity)
{
    return std::visit(
        [&entity](const auto &it) {
            return EntityId{ static_cast<EntityKind>(entity.index()), nameOf(it) };
        },
        entity);
}

} // namespace Pimentohollow
