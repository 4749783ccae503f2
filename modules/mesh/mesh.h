/**
 * @file
 * Public parts of the module mesh: a node on one event loop that serves the callers of its VM and runs the requests of all nodes at the
 * upstream beside it. The decisions (queueing, refusing, placing, rates, repeats) use no sockets and no clock.
 */
#pragma once

#include "mesh/decisions/accountratelimiter.h"
#include "mesh/decisions/calltreeadmission.h"
#include "mesh/decisions/datacentreroles.h"
#include "mesh/decisions/serviceretrybudget.h"
#include "mesh/decisions/slotqueue.h"
#include "mesh/decisions/upstreamchooser.h"
#include "mesh/decisions/weightedsplit.h"
#include "mesh/model/fleetstore.h"
#include "mesh/model/meshsettings.h"
#include "mesh/model/trafficrules.h"
#include "mesh/model/upstreamreport.h"
#include "mesh/node/meshnode.h"
