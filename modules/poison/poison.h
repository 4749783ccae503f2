/**
 * @file
 * Public parts of the module poison: requests that crash upstreams are recognised by their fingerprint and refused.
 */
#pragma once

#include "poison/crashtracker.h"
#include "poison/requestfingerprint.h"
