/**
 * @file
 * Public parts of the module messages: node-to-node messages, their codecs and their authentication.
 */
#pragma once

#include "messages/authentication/messageauthenticator.h"
#include "messages/gossip/gossip.h"
