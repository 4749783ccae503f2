/**
 * @file
 * Public parts of the module storage: the table service and the object store of the users' platform.
 */
#pragma once

#include "storage/http/httpobjectstore.h"
#include "storage/http/httptableservice.h"
#include "storage/interfaces/objectstore.h"
#include "storage/interfaces/tableservice.h"
#include "storage/memory/faultinjector.h"
#include "storage/memory/memoryobjectstore.h"
#include "storage/memory/memorytableservice.h"
