/* entry_speed: what an entry VM learns from the replies to its statements, if
 * targets.learn_speed is set: usual run times of kinds of work, round trips to
 * owners, and how long reads wait for their floor.
 *
 * The usual run time of a kind is the one at a server of usual speed of the
 * group.  The owner of a server compares run times with it, so a server that
 * was slow from the start shows, too.
 */
#ifndef SS_ENTRY_SPEED_H
#define SS_ENTRY_SPEED_H

#include "core/requests.h"

void ss_entry_speed_init (SsNode *node);
void ss_entry_speed_finish (SsNode *node);
/* ss_entry_speed_sent: R is sent to the owner of T, which may be NULL.  Returns
 * the usual run time of its kind in microseconds, or 0.
 */
uint32_t ss_entry_speed_sent (SsNode *node, SsRequest *r, const SsTarget *t);
/* ss_entry_speed_reply: learns from REPLY to R, which was sent. */
void ss_entry_speed_reply (SsNode *node, const SsRequest *r,
                           const Ss__Peer__RunReply *reply);

/* ss_entry_speed_usual_ms: returns the usual run time of a statement of SERVICE
 * in milliseconds, or 0 if it is unknown.
 */
double ss_entry_speed_usual_ms (const SsNode *node, const char *service,
                                bool is_read);
/* ss_entry_speed_slowness: returns how many times slower T is than the fastest
 * server of GROUP.  A server without run times counts as the mean of the
 * others, and an old report counts less.
 */
double ss_entry_speed_slowness (SsNode *node, const SsGroup *group,
                                SsTarget *t);
/* ss_entry_speed_wait_ms: returns the expected queueing time of a read at T's
 * owner.
 */
double ss_entry_speed_wait_ms (SsNode *node, SsTarget *t);
/* ss_entry_speed_round_trip_ms: returns the expected round trip to T's owner.
 */
double ss_entry_speed_round_trip_ms (SsNode *node, SsTarget *t);

#endif
