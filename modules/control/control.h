/**
 * @file
 * Public parts of the module control: the program pimentohollowctl, with one class per subcommand.
 */
#pragma once

#include "control/adminclient.h"
#include "control/command.h"
#include "control/commandresult.h"
#include "control/controlprogram.h"
#include "control/controlsession.h"
