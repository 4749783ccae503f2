/**
 * @file
 * Public parts of the module audit: the hash-chained record of every accepted change.
 */
#pragma once

#include "audit/auditchain.h"
#include "audit/auditentry.h"
