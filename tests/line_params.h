/* line_params: parameters of a simulated VM with the line dialect. */
#ifndef SS_TESTS_LINE_PARAMS_H
#define SS_TESTS_LINE_PARAMS_H

#include "core/node.h"

/* line_params_init: sets PARAMS for the VM named VM of FAILURE_DOMAIN.  Timing
 * fields that are not the platform's are left at 0.
 */
void line_params_init (SsNodeParams *params, const char *vm,
                       const char *failure_domain, uint32_t seed);

#endif
