/**
 * @file
 * Public parts of the module runtime: the tasks that connect the decision modules with sockets and the platform.
 * Each task owns its state in one thread; other threads reach it by messages.
 */
#pragma once

#include "runtime/claims/claimtask.h"
#include "runtime/configuration/configurationtask.h"
#include "runtime/gossip/gossiptask.h"
#include "runtime/quota/quotatask.h"
