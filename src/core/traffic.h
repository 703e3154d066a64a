/* traffic: bytes sent to other VMs, by kind of message and kind of link.
 *
 * Bytes between failure domains cost more than those inside one; these counters
 * show which messages they belong to.
 */
#ifndef SS_TRAFFIC_H
#define SS_TRAFFIC_H

#include <stdint.h>

/* X (ID, name): ID is that of the message in the envelope */
#define SS_TRAFFIC_KINDS(X)                                                    \
  X (HEARTBEAT, "heartbeat")                                                   \
  X (RUN, "run")                                                               \
  X (RUN_REPLY, "run_reply")                                                   \
  X (CANCEL, "cancel")                                                         \
  X (SESSION_END, "session_end")                                               \
  X (STATUS_ASK, "status_ask")                                                 \
  X (STATUS_REPORT, "status_report")                                           \
  X (STATUS_REPORTS, "status_reports")                                         \
  X (SUBSCRIBE, "subscribe")                                                   \
  X (MARK_ASK, "mark_ask")                                                     \
  X (MARK_REPLY, "mark_reply")                                                 \
  X (CONFIG_PULL, "config_pull")                                               \
  X (CONFIG_PUSH, "config_push")                                               \
  X (DIGEST, "digest")                                                         \
  X (DOMAIN_REPORT, "domain_report")                                           \
  X (LEASE_ASK, "lease_ask")                                                   \
  X (LEASE_REPLY, "lease_reply")                                               \
  X (RATE_ASK, "rate_ask")                                                     \
  X (RATE_GRANT, "rate_grant")

typedef enum
{
#define SS_TRAFFIC_ENUM(id, name) SS_TRAFFIC_##id,
  SS_TRAFFIC_KINDS (SS_TRAFFIC_ENUM)
#undef SS_TRAFFIC_ENUM
      SS_TRAFFIC_OTHER, /* any message not listed */
  SS_TRAFFIC_KIND_COUNT
} SsTrafficKind;

typedef enum
{
  SS_TRAFFIC_SAME_DOMAIN,
  SS_TRAFFIC_OTHER_DOMAIN,
  SS_TRAFFIC_LINK_COUNT
} SsTrafficLink;

typedef struct
{
  uint64_t bytes[SS_TRAFFIC_KIND_COUNT][SS_TRAFFIC_LINK_COUNT];
} SsTraffic;

/* ss_traffic_kind: returns the kind of the message with BODY_CASE, a value of
 * the envelope's body_case.
 */
SsTrafficKind ss_traffic_kind (int body_case);
/* ss_traffic_kind_name, ss_traffic_link_name: return static strings, labels of
 * the metrics.
 */
const char *ss_traffic_kind_name (SsTrafficKind kind);
const char *ss_traffic_link_name (SsTrafficLink link);

#endif
