/**
 * @file
 * Public parts of the module platform: the table service and the object store of the users' platform.
 */
#pragma once

#include "platform/http/httpobjectstore.h"
#include "platform/http/httptableservice.h"
#include "platform/interfaces/objectstore.h"
#include "platform/interfaces/tableservice.h"
#include "platform/memory/faultinjector.h"
#include "platform/memory/memoryobjectstore.h"
#include "platform/memory/memorytableservice.h"
