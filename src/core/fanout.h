/* fanout: passes the state reports of targets on to the VMs of this failure
 * domain that subscribed here (subscription.h).
 *
 * All that is due for a VM goes into one message, at intervals.
 */
#ifndef SS_FANOUT_H
#define SS_FANOUT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  GHashTable *targets; /* name -> SsFanoutTarget */
  int64_t sent_ms;
  bool due;    /* a report arrived since then */
  bool urgent; /* one of them tells of a change that routes depend on */
} SsFanout;

typedef struct
{
  GHashTable *subscribers; /* subscribers.h */
  bool due;                /* a report arrived that was not passed on */
} SsFanoutTarget;

void ss_fanout_init (SsFanout *fanout);
void ss_fanout_finish (SsFanout *fanout);
/* ss_fanout_subscribe: starts or renews the subscription of VM to TARGET, which
 * it sent at SENT_MS by its own clock.  Returns whether TARGET had no
 * subscribers before.
 */
bool ss_fanout_subscribe (SsFanout *fanout, const char *target, const char *vm,
                          int64_t sent_ms, int64_t now_ms);
/* ss_fanout_serves: whether any VM has subscribed to TARGET here. */
bool ss_fanout_serves (const SsFanout *fanout, const char *target);
/* ss_fanout_note_report: records that a report of TARGET arrived.  URGENT: it
 * tells of a change that routes depend on, and waits for no others.
 */
void ss_fanout_note_report (SsFanout *fanout, const char *target, bool urgent);
/* ss_fanout_expire: drops the subscriptions that were not renewed. */
void ss_fanout_expire (SsFanout *fanout, int64_t now_ms);
/* ss_fanout_take_due: whether reports have to be passed on now.  If so, adds
 * the names (borrowed) of their targets to OUT; they count as passed on.
 */
bool ss_fanout_take_due (SsFanout *fanout, int64_t now_ms, GPtrArray *out);

#endif
