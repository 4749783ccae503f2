/**
 * @file
 * Public parts of the module http: listeners, strict message parsing, problem responses and the upstream client.
 */
#pragma once

#include "http/reading/bodyreader.h"
#include "http/reading/bytestream.h"
#include "http/reading/messagehead.h"
#include "http/reading/requestreader.h"
#include "http/reading/responsereader.h"
#include "http/rules/hopbyhop.h"
#include "http/rules/keyremoval.h"
#include "http/rules/problemresponse.h"
#include "http/server/callerserver.h"
#include "http/server/disconnectwatcher.h"
#include "http/server/messagewriter.h"
#include "http/server/requesthandler.h"
#include "http/upstream/upstreamclient.h"
