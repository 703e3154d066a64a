/* exit: ends the process once the core has stopped and the plug-ins have sent
 * what is due.
 */
#ifndef SS_EXIT_H
#define SS_EXIT_H

#include "kernel/plugin.h"

/* ss_exit_stop_bound_ms: returns the bound of the core's graceful shutdown:
 * vm.stop_bound_ms, and at most three quarters of vm.grace_s.  The rest of that
 * time is left for the last answers.
 */
int64_t ss_exit_stop_bound_ms (const SsSettings *settings);
/* ss_exit_begin: ends the event loop of RUNTIME as soon as all plug-ins are
 * drained, or at the latest a third of the stop bound after the bound, shortly
 * before the process is killed; logs EXIT_UNDRAINED then.
 */
void ss_exit_begin (SsRuntime *runtime);

#endif
