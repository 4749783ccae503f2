#pragma once

#include "configuration/fleet/entities.h"
#include "parsing/fieldreader.h"
#include "parsing/fieldwriter.h"

namespace Pimentohollow
{

/** Reads the fields of an entity of this kind; faults go to the reader's findings. */
Entity readEntityFields(EntityKind kind, FieldReader &reader);

void writeEntityFields(const Entity &entity, FieldWriter &writer);

} // namespace Pimentohollow
