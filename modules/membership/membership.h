/**
 * @file
 * Public parts of the module membership: failure detection, upstream announcements, and the spread of versions and load.
 */
#pragma once

#include "membership/links/datacentrelinks.h"
#include "membership/protocol/membership.h"
#include "membership/protocol/membershipevent.h"
#include "membership/protocol/membershipsettings.h"
#include "membership/table/membertable.h"
#include "membership/table/withdrawalset.h"
#include "membership/upstream/localupstream.h"
