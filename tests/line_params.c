#include "tests/line_params.h"

#include "platform/dialect.h"

void
line_params_init (SsNodeParams *params, const char *vm,
                  const char *failure_domain, uint32_t seed)
{
  *params = (SsNodeParams){ .vm = vm,
                            .failure_domain = failure_domain,
                            .ip = "10.0.0.1",
                            .peer_port = 1,
                            .seeds = "",
                            .seed = seed,
                            .deadline_ms = 1000,
                            .transaction_idle_ms = 2000,
                            .stop_bound_ms = 1000,
                            .apply_ms = 3000,
                            .drain_ms = 7000,
                            .cross_domain_owners = true,
                            .dialect = ss_dialect_line () };
  params->watches = 1U << SS_WATCH_ROUTES | 1U << SS_WATCH_TARGETS
                    | 1U << SS_WATCH_GROUPS | 1U << SS_WATCH_VMS
                    | 1U << SS_WATCH_VOTERS;
  params->timing.tick_asked_ms = 5;
  params->timing.poll_idle_ms = 4000;
  params->timing.poll_lagging_ms = 4000;
  params->timing.poll_asked_ms = 10;
  params->timing.silence_ms = 450;
  params->timing.unreachable_ms = 900;
}
