/* members: cluster membership: which VMs are live, and which VM holds a role.
 *
 * Liveness comes from heartbeats and from the platform's list of VMs, which
 * lags.  A VM is dead only when its heartbeats time out here and at least half
 * of the VMs whose heartbeats arrive here do not receive its heartbeats either.
 * Where relays report (see relay.c), they decide instead of that vote.  Times
 * are in milliseconds of the node's clock.
 */
#ifndef SS_MEMBERS_H
#define SS_MEMBERS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Timeout of heartbeats. */
#define SS_MEMBER_HEARTBEAT_TIMEOUT_MS 800
/* What is left of the timeouts after a connection broke. */
#define SS_MEMBER_DISCONNECT_TIMEOUT_MS 250
/* A VM that is neither listed nor heard is removed after this time. */
#define SS_MEMBER_RETENTION_MS 30000
/* A relay's report that a VM is live is valid for this long: two report
 * intervals plus the time in transit.
 */
#define SS_MEMBER_REPORT_TIMEOUT_MS 1200
/* Up to this many VMs send heartbeats to all others at negligible cost; more
 * use relays.
 */
#define SS_MEMBERS_MESH_MAX 12
/* Relays in each failure domain.  With two, one may fail without effect. */
#define SS_MEMBERS_RELAYS 2
/* Grace period after all relays are lost, in which a VM may know of no other.
 * It covers a heartbeat to the new relays, a report from these to the relays of
 * other failure domains, and the replies.
 */
#define SS_MEMBER_RELAY_GRACE_MS 1200
/* A listed VM that is not live may be tried as a relay.  If it does not answer
 * within the timeout, it is not tried again during the backoff.
 */
#define SS_MEMBER_RELAY_TIMEOUT_MS 1000
#define SS_MEMBER_RELAY_BACKOFF_MS 3000
/* Capacity of a VM that does not tell its own: one core. */
#define SS_MEMBER_CAPACITY_MILLICORES 1000

typedef struct
{
  char *vm;
  char *failure_domain;
  char *ip;
  uint16_t peer_port;
  uint32_t capacity_millicores; /* processor time that it may use */
  bool listed;                  /* the platform lists it as live */
  bool leaving;                 /* it is in its graceful shutdown */
  bool platform_up;             /* the platform answers it */
  bool live;                    /* as of the last ss_members_update */
  int64_t heard_ms;             /* when its last message arrived */
  int64_t heartbeat_ms;         /* when its last heartbeat arrived */
  int64_t reported_ms;          /* when another VM last reported it live */
  int64_t remote_report_ms;     /* when its failure domain's relay last did */
  int64_t domain_report_ms; /* when it last sent its failure domain's report */
  int64_t added_ms;
  int64_t config_pushed_ms; /* when it last got the operator's configuration
                               because its heartbeats show an earlier one */
  int64_t relay_tried_ms; /* since when it is tried as a relay; 0: it is not */
  int64_t relay_retry_ms; /* not tried as a relay before this */
  GHashTable *heard;      /* names of the VMs whose heartbeats it receives */
} SsMember;

typedef struct
{
  GTree *by_name;
  char *self;
  char *failure_domain;
  SsMember *self_member;
  uint64_t generation; /* incremented when a VM's liveness, leaving, capacity or
                          failure domain changes */
  uint64_t platform_generation; /* incremented when the platform begins or ends
                                   to answer a VM */
  uint32_t known_others;        /* other VMs that are listed or live */
  struct SsRoles *roles;        /* roles.h */
  bool relayed;   /* too many VMs for a full mesh: relays report */
  bool converged; /* see ss_members_is_converged */
  bool converged_known;
  int64_t relay_reply_ms;       /* when a relay last answered; 0: relays lost */
  int64_t lost_relay_reply_ms;  /* relay_reply_ms when the relays were lost */
  int64_t relay_grace_until_ms; /* see ss_members_in_relay_grace */
} SsMembers;

void ss_members_init (SsMembers *members, const char *vm,
                      const char *failure_domain, const char *ip,
                      uint16_t peer_port, int64_t now_ms);
void ss_members_finish (SsMembers *members);

/* ss_members_find: returns the member named VM (borrowed), or NULL. */
SsMember *ss_members_find (const SsMembers *members, const char *vm);

/* ss_members_is_in_domain: whether MEMBER, which may be NULL, is in this VM's
 * failure domain.
 */
bool ss_members_is_in_domain (const SsMembers *members, const SsMember *member);

/* ss_members_add: finds or adds VM and sets its failure domain and address. */
SsMember *ss_members_add (SsMembers *members, const char *vm,
                          const char *failure_domain, const char *ip,
                          uint16_t peer_port);

/* ss_members_set_capacity: sets the capacity of MEMBER; 0: it tells none. */
void ss_members_set_capacity (SsMembers *members, SsMember *member,
                              uint32_t capacity_millicores);
/* ss_members_record_heartbeat: records a heartbeat of MEMBER, which receives
 * the heartbeats of the COUNT VMs in HEARD.
 */
void ss_members_record_heartbeat (SsMembers *members, SsMember *member,
                                  bool leaving, char **heard, size_t count,
                                  int64_t now_ms);
/* ss_members_record_disconnect: records that a connection to VM broke, which
 * shortens its timeouts to SS_MEMBER_DISCONNECT_TIMEOUT_MS.  A VM that the
 * platform does not list takes no role from then on, until it is heard again.
 */
void ss_members_record_disconnect (SsMembers *members, const char *vm,
                                   int64_t now_ms);

/* ss_members_update: re-evaluates liveness and calls CHANGED for each VM that
 * became live or dead.  Removes dead VMs that are not listed and were not heard
 * for SS_MEMBER_RETENTION_MS.
 */
void ss_members_update (SsMembers *members, int64_t now_ms,
                        void (*changed) (void *data, const SsMember *member),
                        void *data);

/* ss_members_record_report: records a relay's report that MEMBER is live.  Its
 * own heartbeats, where they arrive here, decide LEAVING and PLATFORM_UP.
 */
void ss_members_record_report (SsMembers *members, SsMember *member,
                               bool leaving, bool platform_up, int64_t now_ms);
/* ss_members_record_relay_reply: records that a relay answered this VM, or
 * that this VM is a relay itself.
 */
void ss_members_record_relay_reply (SsMembers *members, int64_t now_ms);
/* ss_members_in_relay_grace: whether the grace period after the loss of all
 * relays runs.  Members of this VM's failure domain that were known through
 * those relays keep their liveness meanwhile; the absence of others proves
 * nothing.
 */
bool ss_members_in_relay_grace (const SsMembers *members, int64_t now_ms);
/* ss_members_relays: adds to OUT the names (borrowed) of the VMs that relay
 * for FAILURE_DOMAIN: those of most capacity, as a relay sends to all VMs of
 * its failure domain, and among equal ones by rank.
 */
void ss_members_relays (const SsMembers *members, const char *failure_domain,
                        int64_t now_ms, GPtrArray *out);
/* ss_members_collect_silent: adds to OUT the dead VMs (borrowed) that have been
 * known since before SINCE_MS and have been neither heard nor reported after
 * it; never this VM.
 */
void ss_members_collect_silent (const SsMembers *members, int64_t since_ms,
                                GPtrArray *out);
/* ss_members_set_platform_up: sets whether the platform answers MEMBER. */
void ss_members_set_platform_up (SsMembers *members, SsMember *member,
                                 bool platform_up);
/* ss_members_set_listed: sets whether the platform lists MEMBER as live. */
void ss_members_set_listed (SsMembers *members, SsMember *member, bool listed);
/* ss_members_has_silent: whether the platform lists a VM of FAILURE_DOMAIN that
 * is not live.  Looks at all VMs.
 */
bool ss_members_has_silent (const SsMembers *members,
                            const char *failure_domain);
/* ss_members_is_converged: whether every VM of this failure domain that the
 * platform lists is live.  The result is cached until membership changes, since
 * it is needed for each statement.
 */
bool ss_members_is_converged (SsMembers *members);

#endif
