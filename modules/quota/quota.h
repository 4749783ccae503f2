/**
 * @file
 * Public parts of the module quota: rate and burst per client account, summed over the fleet.
 *
 * Amounts are in millionths of a token (microtokens); one request takes one token.
 */
#pragma once

#include "quota/bucket/quotaledger.h"
#include "quota/bucket/tokenbucket.h"
#include "quota/exchange/tokenexchange.h"
#include "quota/quotafaults.h"
#include "quota/shares/sharerow.h"
#include "quota/shares/sharetable.h"
