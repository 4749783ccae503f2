/**
 * @file
 * Public parts of the module admission: the concurrency limit of an upstream, the fair queue before it, the controller
 * that decides on each request at the serving node, and the shares that an overloaded service reports upwards.
 */
#pragma once

#include "admission/admissioncontroller.h"
#include "admission/admissionsettings.h"
#include "admission/downstreamgate.h"
#include "admission/limits/concurrencylimit.h"
#include "admission/queue/fairqueue.h"
#include "admission/shareestimator.h"
