/* vms: the daemons, each a process with settings of its own. */
#ifndef SS_TESTS_WORLD_VMS_H
#define SS_TESTS_WORLD_VMS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define WORLD_GRACE_S 6

/* A stop that was asked for. */
typedef struct
{
  uint32_t vm;
  uint32_t boot; /* how often the daemon was started before */
  int64_t term_ms;
  int64_t end_ms; /* 0: it has not ended */
  int status;     /* of waitpid */
  bool killed;    /* by SIGKILL, after the grace period */
} WorldStop;

/* world_vms_use_relays: other VMs reach each VM at its relay's address.  To be
 * called before the start.
 */
void world_vms_use_relays (void);
/* world_vms_start: starts a daemon on each VM, whose grace period is GRACE_S;
 * settings and logs are in FOLDER.  To be called by the thread that lives until
 * world_vms_stop.
 */
void world_vms_start (const char *folder, const char *daemon, uint32_t grace_s);
/* world_vms_is_steady: whether it has run for some time and was not told to
 * stop.
 */
bool world_vms_is_steady (uint32_t vm);
/* world_vms_takes_signals: whether it has run for some time and has written to
 * its log, which it does once it handles signals.
 */
bool world_vms_takes_signals (uint32_t vm);
/* world_vms_hang_up: sends SIGHUP. */
void world_vms_hang_up (uint32_t vm);
/* world_vms_change_settings: writes another settings file; KIND chooses which.
 */
void world_vms_change_settings (uint32_t vm, uint32_t kind);
/* world_vms_is_ready: whether it answers the platform's probe with 200. */
bool world_vms_is_ready (uint32_t vm);
/* world_vms_all_ready: whether all answer the platform's probe with 200. */
bool world_vms_all_ready (void);
/* world_vms_kill: ends a daemon with SIGKILL; tend starts it again. */
void world_vms_kill (uint32_t vm);
/* world_vms_kill_for: as world_vms_kill; it is started again after AWAY_MS. */
void world_vms_kill_for (uint32_t vm, int64_t away_ms);
/* world_vms_freeze, world_vms_thaw: stop a daemon between any two instructions,
 * and let it go on.
 */
void world_vms_freeze (uint32_t vm);
void world_vms_thaw (uint32_t vm);
/* world_vms_terminate: sends SIGTERM, and tend SIGKILL after the grace period.
 */
void world_vms_terminate (uint32_t vm);
/* world_vms_tend: starts daemons again some time after they were ended.  To be
 * called often.
 */
void world_vms_tend (void);
/* world_vms_any_stopping: whether one was told to stop and has not ended. */
bool world_vms_any_stopping (void);
/* world_vms_boot: how often the daemon was started before. */
uint32_t world_vms_boot (uint32_t vm);
/* world_vms_stops: all stops, as WorldStop; for the thread that calls tend, or
 * when it has ended.
 */
const GArray *world_vms_stops (void);
int64_t world_vms_grace_ms (void);
const char *world_vms_name (uint32_t vm);
/* world_vms_stop: ends all daemons by their process ids. */
void world_vms_stop (void);
/* world_vms_own_ends: how many daemons ended without being told to. */
uint32_t world_vms_own_ends (void);

#endif
