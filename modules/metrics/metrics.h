/**
 * @file
 * Public parts of the module metrics: counters, gauges, latency histograms and their Prometheus text.
 */
#pragma once

#include "metrics/latencyhistogram.h"
#include "metrics/metricregistry.h"
