/* fanout_send: sends the reports that a fan-out passes on. */
#ifndef SS_FANOUT_SEND_H
#define SS_FANOUT_SEND_H

#include "core/node.h"

/* ss_fanout_send: sends what is due, one message to each subscriber. */
void ss_fanout_send (SsNode *node);

#endif
