/**
 * @file
 * Public interface of the mesh module: a node on one event loop that serves the callers on its VM and runs requests of all nodes at its
 * upstream. The decision classes (queueing, refusal, placement, rate limits, retries) use no sockets and no clock.
 */
#pragma once

#include "mesh/decisions/accountratelimiter.h"
#include "mesh/decisions/callparentfinder.h"
#include "mesh/decisions/calltreeadmission.h"
#include "mesh/decisions/datacentreroles.h"
#include "mesh/decisions/ruleswatchplan.h"
#include "mesh/decisions/serviceretrybudget.h"
#include "mesh/decisions/shutdownplan.h"
#include "mesh/decisions/slotqueue.h"
#include "mesh/decisions/upstreamchooser.h"
#include "mesh/decisions/upstreamlifecycle.h"
#include "mesh/decisions/upstreamnotices.h"
#include "mesh/decisions/weightedsplit.h"
#include "mesh/model/fleetstore.h"
#include "mesh/model/meshsettings.h"
#include "mesh/model/trafficrules.h"
#include "mesh/model/upstreamreport.h"
#include "mesh/node/eracheckedstore.h"
#include "mesh/node/meshnode.h"
