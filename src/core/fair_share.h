/* fair_share: by how much each organisation is ahead of its max-min fair share
 * of a target's run time.
 *
 * Load pattern: one organisation sends several times its usual rate while many
 * others send what they always send.
 *
 * Start-time fair queueing over run time.  The virtual time advances as in a
 * fluid server that divides its capacity equally among the organisations with
 * work: by the run time that was given out, divided by their number.  The
 * finish tag of an organisation is the virtual time at which that server would
 * have run what the organisation was given.  An organisation that has neither
 * queued work nor a finish tag after the virtual time has no account: idle time
 * earns no credit, and the table holds active organisations only.
 *
 * There is one such server for each level of urgency.  It knows the work of
 * that level and of more urgent ones only, as if less urgent work did not
 * exist.  So what an organisation gets for its patient statements does not
 * delay its urgent ones, unless it is ahead by more than
 * SS_FAIR_SHARE_URGENCY_MS for each level between them.
 *
 * Run times are in milliseconds.  The module does not read a clock: it works by
 * the run time given out, so that it holds at any speed of the target.
 */
#ifndef SS_FAIR_SHARE_H
#define SS_FAIR_SHARE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* All urgencies from the last level on are one level. */
#define SS_FAIR_SHARE_LEVELS 4
/* Equal to the rank delay of a level of urgency (queue.h), so that a statement
 * within its share at its own level ranks no worse than a patient one of the
 * same organisation.
 */
#define SS_FAIR_SHARE_URGENCY_MS 500

typedef struct
{
  GHashTable *accounts; /* organisation -> its account; active ones only */
  double virtual_ms;
  double credit_ms; /* run time charged in excess, yet to be set off */
} SsFairLevel;

typedef struct
{
  SsFairLevel levels[SS_FAIR_SHARE_LEVELS];
} SsFairShare;

/* How far an organisation is ahead, valid until the next change of the share.
 */
typedef struct
{
  struct
  {
    double given_ms; /* run time given beyond its share; negative: it is owed */
    double factor;   /* time in which each organisation gets 1 ms of run time */
  } levels[SS_FAIR_SHARE_LEVELS];
} SsFairLead;

void ss_fair_share_init (SsFairShare *share);
void ss_fair_share_finish (SsFairShare *share);

/* ss_fair_share_enqueue, ss_fair_share_dequeue: record that a statement of
 * ORGANISATION begins or ends to wait.
 */
void ss_fair_share_enqueue (SsFairShare *share, const char *organisation,
                            uint32_t urgency);
void ss_fair_share_dequeue (SsFairShare *share, const char *organisation,
                            uint32_t urgency);
/* ss_fair_share_charge: records that a statement of ORGANISATION was given
 * RUN_MS of run time.  A negative RUN_MS takes back what an earlier charge was
 * too high by.
 */
void ss_fair_share_charge (SsFairShare *share, const char *organisation,
                           uint32_t urgency, double run_ms);
/* ss_fair_share_reset: ends the busy period: nothing waits and capacity is
 * free, so nobody is ahead.
 */
void ss_fair_share_reset (SsFairShare *share);
/* ss_fair_share_active: returns how many organisations share the capacity. */
uint32_t ss_fair_share_active (const SsFairShare *share);
/* ss_fair_share_lead: returns the lead of ORGANISATION at a target of SLOTS
 * slots.  JOINING, if not NULL, counts as active, too.
 */
SsFairLead ss_fair_share_lead (const SsFairShare *share,
                               const char *organisation, const char *joining,
                               uint32_t slots);
/* ss_fair_lead_ms: returns by how many milliseconds a statement of URGENCY is
 * ahead of its organisation's share once the organisation is given WORK_MS
 * more; 0 if it is within the share then.
 */
double ss_fair_lead_ms (const SsFairLead *lead, uint32_t urgency,
                        double work_ms);

#endif
