/* duty: when this VM may call the platform to promote a server.
 *
 * The VM that wrote the duty object last holds the duty.  The version that a
 * write gave the object is the fencing token of one call.  A platform that does
 * not check tokens must not get a lower one after a higher one.  Two times keep
 * the calls of different holders apart: a holder calls only within the hold
 * time that its write names, counted from when it sent the write; and a VM
 * writes the object only once the hold time of another holder's last write and
 * the longest way of a call have passed since it learned of that write.
 *
 * All times are milliseconds of a clock that runs on while the VM is suspended.
 */
#ifndef SS_DUTY_H
#define SS_DUTY_H

#include "core/event.h"

/* The hold time that a first write names, and the longest that a VM names where
 * the store answers slowly.
 */
#define SS_DUTY_HOLD_MIN_MS 200
#define SS_DUTY_HOLD_MAX_MS 1500
/* Longest way of a call to the platform; the platform's client gives up calls
 * before that.
 */
#define SS_DUTY_CALL_MAX_MS 800

typedef struct
{
  char life[17];   /* identifies this start of the VM in its writes */
  uint64_t writes; /* so far; no two writes are alike */
  int64_t version; /* highest known version of the object; 0: none */
  int64_t free_ms; /* no write before this */
} SsDuty;

/* ss_duty_init: LIFE is a random number. */
void ss_duty_init (SsDuty *duty, uint64_t life);
/* ss_duty_value: returns the object's value for the next write of VM, to be
 * freed with g_free.
 */
char *ss_duty_value (SsDuty *duty, const char *vm, const char *operation,
                     int64_t hold_ms);
/* ss_duty_observe: takes OBJECT, as the store returned it, at NOW_MS. */
void ss_duty_observe (SsDuty *duty, const SsObject *object, int64_t now_ms);
/* ss_duty_forget: the store has no duty object. */
void ss_duty_forget (SsDuty *duty);
/* ss_duty_may_write: whether this VM may write the object at NOW_MS. */
bool ss_duty_may_write (const SsDuty *duty, int64_t now_ms);

#endif
