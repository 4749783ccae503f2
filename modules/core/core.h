/**
 * @file
 * Public parts of the module core: errors, names, clock, random source, mailbox, logging and the request context.
 */
#pragma once

#include "core/backoff.h"
#include "core/cancellation.h"
#include "core/clock.h"
#include "core/enumtable.h"
#include "core/error.h"
#include "core/ipendpoint.h"
#include "core/logger.h"
#include "core/mailbox.h"
#include "core/manualclock.h"
#include "core/names.h"
#include "core/random.h"
#include "core/refusal.h"
#include "core/requestcontext.h"
#include "core/systemclock.h"
#include "core/upstreamrecord.h"
