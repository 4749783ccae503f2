/**
 * @file
 * Public parts of the module routing: what is known about upstreams, which one gets a call, which ones are left out,
 * when a call is hedged and what the entry node refuses early. No sockets, threads or wall clock.
 */
#pragma once

#include "routing/connections/connectionmonitor.h"
#include "routing/health/greedycycliccusum.h"
#include "routing/health/outlierejector.h"
#include "routing/health/slowstart.h"
#include "routing/health/suspectprober.h"
#include "routing/hedging/hedgepolicy.h"
#include "routing/load/serviceload.h"
#include "routing/selection/upstreamselector.h"
#include "routing/table/upstream.h"
#include "routing/table/upstreamtable.h"
