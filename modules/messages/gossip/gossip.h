/**
 * @file
 * Public parts of the topic gossip: the messages that nodes exchange by UDP and their codec.
 */
#pragma once

#include "messages/gossip/datagramcodec.h"
#include "messages/gossip/gossipmessage.h"
#include "messages/gossip/gossipupdate.h"
