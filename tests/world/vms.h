/* vms: the daemons, each a process with settings of its own. */
#ifndef SS_TESTS_WORLD_VMS_H
#define SS_TESTS_WORLD_VMS_H

#include <stdbool.h>
#include <stdint.h>

/* world_vms_start: starts a daemon on each VM; settings and logs are in FOLDER.
 * To be called by the thread that lives until world_vms_stop.
 */
void world_vms_start (const char *folder, const char *daemon);
/* world_vms_all_ready: whether all answer the platform's probe with 200. */
bool world_vms_all_ready (void);
/* world_vms_kill: ends a daemon with SIGKILL; tend starts it again. */
void world_vms_kill (uint32_t vm);
/* world_vms_terminate: sends SIGTERM, and tend SIGKILL after the grace period.
 */
void world_vms_terminate (uint32_t vm);
/* world_vms_tend: starts daemons again some time after they were ended.  To be
 * called often.
 */
void world_vms_tend (void);
/* world_vms_stop: ends all daemons by their process ids. */
void world_vms_stop (void);
/* world_vms_own_ends: how many daemons ended without being told to. */
uint32_t world_vms_own_ends (void);

#endif
