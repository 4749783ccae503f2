/**
 * @file
 * Public parts of the module async: one thread that runs many fibers over non-blocking sockets.
 */
#pragma once

#include "async/loop/boottimeclock.h"
#include "async/loop/eventloop.h"
#include "async/loop/waitpoint.h"
#include "async/net/asynclistener.h"
#include "async/net/asyncsocket.h"
#include "async/net/httpclient.h"
#include "async/net/httpconnection.h"
#include "async/net/httpserver.h"
