/* settings: the local settings of a VM, read from a TOML file.
 *
 * All other configuration (services, targets, staleness) comes from the
 * platform.
 */
#ifndef SS_SETTINGS_H
#define SS_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "core/timing.h"
#include "kernel/log.h"

/* X (field, key, default (NULL: required)) */
#define SS_SETTINGS_STRINGS(X)                                                 \
  X (vm_name, "vm.name", NULL)                                                 \
  X (failure_domain, "vm.failure_domain", NULL)                                \
  X (ip, "vm.ip", NULL)                                                        \
  X (platform_ip, "platform.ip", "")                                           \
  X (advertised_ip, "vm.advertised_ip", "")                                    \
  X (seeds, "peers.seeds", "")                                                 \
  X (admin_token_file, "admin.token_file", "")                                 \
  X (interface, "vm.interface", "postgresql")                                  \
  X (callers_at, "vm.callers_at", "")                                          \
  X (ready_at, "vm.ready_at", "")                                              \
  X (platform_at, "platform.at", "")                                           \
  X (promotions_at, "platform.promotions_at", "")                              \
  X (log_level, "log.level", "info")

/* X (field, key, default, lowest, highest).  Default -1: required.  Default 0
 * of a port: not set; caller_port and platform_port are required unless
 * vm.callers_at and platform.at give them.
 */
#define SS_SETTINGS_INTEGERS(X)                                                \
  X (caller_port, "vm.caller_port", 0, 1, 65535)                               \
  X (peer_port, "vm.peer_port", -1, 1, 65535)                                  \
  X (admin_port, "vm.admin_port", -1, 1, 65535)                                \
  X (platform_port, "platform.port", 0, 1, 65535)                              \
  X (apply_ms, "platform.apply_ms", 3000, 100, 600000)                         \
  X (drain_ms, "platform.drain_ms", 7000, 100, 600000)                         \
  X (seed_port, "peers.seed_port", 0, 1, 65535)                                \
  X (max_callers, "callers.max", 8000, 1, 1000000)                             \
  X (startup_timeout_ms, "callers.startup_timeout_ms", 5000, 100, 60000)       \
  X (idle_timeout_ms, "callers.idle_timeout_ms", 3600000, 1000, 86400000)      \
  X (transaction_idle_ms, "callers.transaction_idle_ms", 10000, 100, 600000)   \
  X (deadline_ms, "callers.deadline_ms", 5000, 50, 600000)                     \
  X (stop_bound_ms, "vm.stop_bound_ms", 10000, 100, 600000)                    \
  X (rate_slack, "rate_limit.slack", 20, 0, 1000000)                           \
  X (learn_speed, "targets.learn_speed", 0, 0, 1)                              \
  X (log_spans, "log.spans", 0, 0, 1)

/* X (field, key, default, lowest, highest): floating-point numbers */
#define SS_SETTINGS_REALS(X)                                                   \
  X (grace_s, "vm.grace_s", 0.0, 0.0, 3600.0)                                  \
  X (cores, "vm.cores", 1.0, 0.001, 1024.0)                                    \
  X (rate_window_s, "rate_limit.window_s", 5.0, 0.1, 3600.0)                   \
  X (rate_overage, "rate_limit.overage", 0.1, 0.0, 10.0)

typedef struct
{
#define X(field, key, fallback) char *field;
  SS_SETTINGS_STRINGS (X)
#undef X
#define X(field, key, fallback, lowest, highest) int64_t field;
  SS_SETTINGS_INTEGERS (X)
#undef X
#define X(field, fallback, lowest, highest) int64_t field;
  SS_TIMINGS (X)
#undef X
#define X(field, key, fallback, lowest, highest) double field;
  SS_SETTINGS_REALS (X)
#undef X
} SsSettings;

/* ss_settings_parse_address: parses AT, which is IP:PORT; IP has at least
 * INET_ADDRSTRLEN bytes.  Returns false if AT is malformed.
 */
bool ss_settings_parse_address (const char *at, char *ip, uint16_t *port);

/* ss_settings_init: reads and validates PATH.
 *
 * Returns NULL on success, else an error message to be freed with g_free.  It
 * names the file, the key and, if they apply, the line and the allowed values.
 * ss_settings_finish is due in either case.
 */
char *ss_settings_init (SsSettings *settings, const char *path);
void ss_settings_finish (SsSettings *settings);

#endif
