/* members: which vms are live, from the platform's lagging list and from
 * heartbeats, and which vm holds a role.
 *
 * A vm is dead only when this vm misses it and at least half of the vms that
 * this one hears miss it too.
 */
#ifndef SS_MEMBERS_H
#define SS_MEMBERS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define SS_MEMBER_SILENCE_MS 800
/* After a lost connection only this much silence is allowed. */
#define SS_MEMBER_LOST_SILENCE_MS 250
#define SS_MEMBER_FORGET_MS 30000
/* A vm that relays report as live is taken for so for this long: two reports
 * and what they take.
 */
#define SS_MEMBER_REPORTED_MS 1200
/* So many vms hear all others without a cost that matters. */
#define SS_MEMBERS_MESH_MAX 12
/* Of relays in a failure domain: one may be lost unnoticed. */
#define SS_MEMBERS_RELAYS 2
/* After its relays are lost a vm may know of no other for so long: a beat to
 * the new ones, of these to the relays of other failure domains, and back.
 */
#define SS_MEMBER_UNSURE_MS 1200
/* A listed vm that does not answer as a relay in time is left out for a while.
 */
#define SS_MEMBER_RELAY_TRY_MS 1000
#define SS_MEMBER_RELAY_AGAIN_MS 3000

typedef struct
{
  char *vm;
  char *failure_domain;
  char *ip;
  uint16_t peer_port;
  bool listed;
  bool leaving;
  bool platform_up; /* the platform answers it */
  bool live;        /* as of the last ss_members_update */
  int64_t heard_ms;
  int64_t reported_ms; /* when another vm last said that it is live */
  int64_t remote_ms;   /* when its failure domain's relay last said so */
  int64_t relays_ms;   /* when it last sent its failure domain's report */
  int64_t added_ms;
  int64_t relay_tried_ms; /* since when it is tried as a relay; 0: it is not */
  int64_t relay_again_ms; /* it is not tried before */
  GHashTable *heard;      /* names that it hears */
} SsMember;

typedef struct
{
  GTree *by_name;
  char *self;
  char *failure_domain;
  uint64_t generation; /* moves with every change of liveness */
  bool relayed;        /* too many for each to hear all: relays report */
  bool settled;        /* see ss_members_is_settled */
  bool settled_known;
  int64_t told_ms;         /* when a relay last answered; 0: since then lost */
  int64_t lost_told_ms;    /* told_ms of the relays that were lost */
  int64_t unsure_until_ms; /* see ss_members_is_unsure */
} SsMembers;

void ss_members_init (SsMembers *members, const char *vm,
                      const char *failure_domain, const char *ip,
                      uint16_t peer_port, int64_t now_ms);
void ss_members_finish (SsMembers *members);

/* ss_members_find: NULL where VM is unknown. */
SsMember *ss_members_find (const SsMembers *members, const char *vm);

/* ss_members_add: finds or adds VM and sets its place. */
SsMember *ss_members_add (SsMembers *members, const char *vm,
                          const char *failure_domain, const char *ip,
                          uint16_t peer_port);

/* ss_members_heard: a heartbeat of MEMBER, which hears the COUNT vms named. */
void ss_members_heard (SsMembers *members, SsMember *member, bool leaving,
                       char **heard, size_t count, int64_t now_ms);
/* ss_members_lost: a connection of VM broke; shortens the silence allowed. */
void ss_members_lost (SsMembers *members, const char *vm, int64_t now_ms);

/* ss_members_update: judges liveness anew; CHANGED is called for each vm
 * that became live or dead.  Forgets vms neither listed nor heard.
 */
void ss_members_update (SsMembers *members, int64_t now_ms,
                        void (*changed) (void *data, const SsMember *member),
                        void *data);

/* ss_members_owner: the live vm of FAILURE_DOMAIN (NULL: any) that ranks
 * first for SUBJECT, or NULL.
 */
const char *ss_members_owner (const SsMembers *members,
                              const char *failure_domain, const char *subject);
/* ss_members_rank: this vm's place for SUBJECT among the live vms, from 0. */
uint32_t ss_members_rank (const SsMembers *members, const char *failure_domain,
                          const char *subject);
/* ss_members_reported: others say that MEMBER is live. */
void ss_members_reported (SsMembers *members, SsMember *member, bool leaving,
                          bool platform_up, int64_t now_ms);
/* ss_members_told: a relay answered this vm, or this vm relays itself. */
void ss_members_told (SsMembers *members, int64_t now_ms);
/* ss_members_is_unsure: the relays were lost a short time ago.  The vms of the
 * own failure domain are taken for what they were; that others are missed says
 * nothing.
 */
bool ss_members_is_unsure (const SsMembers *members, int64_t now_ms);
/* ss_members_relays: adds to OUT the names (borrowed) of the vms that relay
 * for FAILURE_DOMAIN.
 */
void ss_members_relays (const SsMembers *members, const char *failure_domain,
                        int64_t now_ms, GPtrArray *out);
/* ss_members_is_watcher: whether this vm watches the platform for its failure
 * domain: fewer than SS_MEMBERS_RELAYS vms that rank before it are answered
 * by the platform.
 */
bool ss_members_is_watcher (const SsMembers *members);
/* ss_members_collect_silent: adds to OUT the vms (borrowed) that are known
 * since before SINCE_MS and that nobody heard after it; never this one.
 */
void ss_members_collect_silent (const SsMembers *members, int64_t since_ms,
                                GPtrArray *out);
/* ss_members_coordinator: the live vm that the platform answers and that ranks
 * first for SUBJECT, or NULL.
 */
const char *ss_members_coordinator (const SsMembers *members,
                                    const char *subject);
/* ss_members_set_listed: whether the platform lists MEMBER as live. */
void ss_members_set_listed (SsMembers *members, SsMember *member, bool listed);
/* ss_members_is_settled: no vm of this failure domain is listed but dead.
 * Asked for each statement, so the answer is kept until something changes.
 */
bool ss_members_is_settled (SsMembers *members);

#endif
