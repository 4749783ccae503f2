/**
 * @file
 * Public parts of the module keys: client keys, their keyed hashes, the table that requests are checked against,
 * and withdrawals.
 */
#pragma once

#include "keys/clientkey.h"
#include "keys/keydigest.h"
#include "keys/keytable.h"
#include "keys/withdrawal.h"
