#pragma once

#include "configuration/fleet/entities.h"
#include "configuration/parsing/fieldreader.h"
#include "configuration/parsing/fieldwriter.h"

namespace Pimentohollow
{

/** Reads the fields of an entity of this kind; faults go to the reader's findings. */
Entity readEntityFields(EntityKind kind, FieldReader &reader);

void writeEntityFields(const Entity &entity, FieldWriter &writer);

} // namespace Pimentohollow
