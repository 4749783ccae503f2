/**
 * @file
 * Public parts of the module peer: multiplexed TCP calls between nodes.
 */
#pragma once

#include "peer/channel/framechannel.h"
#include "peer/channel/messagechannel.h"
#include "peer/channel/tcpframechannel.h"
#include "peer/link/peerlink.h"
#include "peer/link/peerpool.h"
#include "peer/server/callhandler.h"
#include "peer/server/callregistry.h"
#include "peer/server/changeshandler.h"
#include "peer/server/peerserver.h"
