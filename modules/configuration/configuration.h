/**
 * @file
 * Public parts of the module configuration: the settings of one node, the document that the whole fleet
 * shares, and its versions.
 */
#pragma once

#include "configuration/changes/configurationstore.h"
#include "configuration/changes/configurationtracker.h"
#include "configuration/changes/fleetchange.h"
#include "configuration/changes/withdrawalchange.h"
#include "configuration/fleet/entities.h"
#include "configuration/fleet/fleetconfiguration.h"
#include "configuration/fleet/fleetview.h"
#include "configuration/settings/nodesettings.h"
#include "configuration/settings/secret.h"
#include "parsing/endpointscalar.h"
#include "parsing/finding.h"
