/**
 * @file
 * Public parts of the module retries: the retry budget of a call chain, the retry ratio of a node, the decision
 * whether to retry, and the time after which a refused caller may come back.
 */
#pragma once

#include "retries/retryafter.h"
#include "retries/retrybudget.h"
#include "retries/retrypolicy.h"
#include "retries/retryratio.h"
