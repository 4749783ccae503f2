/**
 * @file
 * Public parts of the module platform: the table service and the object store of the users' platform.
 */
#pragma once

#include "platform/interfaces/objectstore.h"
#include "platform/interfaces/tableservice.h"
