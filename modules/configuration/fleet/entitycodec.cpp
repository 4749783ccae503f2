#include "configuration/fleet/entitycodec.h"

#include "configuration/fleet/entityfields.h"

namespace Pimentohollow
{

namespace
{

template <std::size_t Index = 0>
Entity makeEntity(EntityKind kind)
{
    if constexpr (Index + 1 < std::variant_size_v<Entity>) {
        if (kind != static_cast<EntityKind>(Index)) {
            return makeEntity<Index + 1>(kind);
        }
    }
    return std::variant_alternative_t<Index, Entity>();
}

} // namespace

Entity readEntityFields(EntityKind kind, FieldReader &reader)
{
    Entity entity = makeEntity(kind);
    std::visit(
        [&reader](auto &it) {
            describeFields(reader, it, it);
        },
        entity);
    return entity;
}

void writeEntityFields(const Entity &entity, FieldWriter &writer)
{
    std::visit(
        [&writer](const auto &it) {
            describeFields(writer, it, it);
        },
        entity);
}

} // namespace Pimentohollow
