/**
 * @file
 * Public parts of the module messages: node-to-node messages, their codecs and their authentication.
 */
#pragma once

#include "messages/authentication/messageauthenticator.h"
#include "messages/call/callmessages.h"
#include "messages/call/httpmessages.h"
#include "messages/call/linkmessages.h"
#include "messages/call/peermessage.h"
#include "messages/codec/framecodec.h"
#include "messages/gossip/gossip.h"
