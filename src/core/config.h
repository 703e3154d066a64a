/* config: the configuration in force, built from platform objects.
 *
 * An object is adopted only if it is newer than the stored one
 * (config_order.h).  Keys are service/NAME, target/NAME, group/NAME,
 * voters/NAME and organisation/NAME.
 * routes/NAME replaces all services at once and declares the groups.  Objects
 * under other keys are stored and forwarded uninterpreted.
 */
#ifndef SS_CONFIG_H
#define SS_CONFIG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/event.h"
#include "core/position.h"

#define SS_CONFIG_KINDS_MAX 16
#define SS_CONFIG_SERVERS_MAX 9
/* Of a key's digest (identity.h), with its terminating 0. */
#define SS_KEY_DIGEST_BYTES 33

#define SS_ROLES(X)                                                            \
  X (UNKNOWN, "unknown")                                                       \
  X (REPLICA, "replica")                                                       \
  X (PRIMARY, "primary")                                                       \
  X (FENCED, "fenced")

typedef enum
{
#define SS_ROLE_ENUM(id, name) SS_SERVER_##id,
  SS_ROLES (SS_ROLE_ENUM)
#undef SS_ROLE_ENUM
} SsServerRole;

const char *ss_server_role_text (SsServerRole role);

/* The last state that a server reported. */
typedef struct
{
  bool reachable;
  bool refused; /* its address refuses connections */
  SsServerRole role;
  uint64_t shown_term;  /* the highest term it was shown */
  SsPosition held;      /* last entry in its log */
  SsPosition applied;   /* last entry visible to reads */
  uint32_t silence_ms;  /* since it last heard from its primary */
  uint64_t follow_term; /* term of the primary that it follows or is */
  SsHistory history;
  uint32_t wait_ms;      /* predicted queueing time of a new read */
  uint32_t mean_wait_ms; /* mean queueing time of the last statements */
  uint32_t stalled_ms;   /* for how long its commits reach no majority */
  uint32_t lag_ms;       /* replication lag of the applied position */
  uint64_t barred_term;  /* replicates no term below this one; 0: no bar */
  /* Learned by the owner (owner_speed.c). */
  uint32_t concurrency_limit; /* 0: as configured */
  uint32_t slowness_percent;  /* of the usual run time; 0: as usual */
  bool speed_unknown;         /* no run time has been seen yet */
} SsServerState;

typedef struct
{
  char *name;
  int64_t version;
  /* settings */
  char *group;
  char *ip;
  uint16_t port;
  char *failure_domain;
  uint32_t max_connections; /* 0: the group's limit */
  uint32_t slots;           /* concurrent statements; 0: unknown */
  int64_t born_ms;          /* Unix time of its start; 0: unknown.  Identifies
                               the incarnation. */
  bool draining;
  bool is_finishing; /* this VM has given it up, but statements still run or
                        wait there */
  bool unlisted;     /* deleted at the platform, but a voter: it may live, and
                        drains until it is no voter */
  bool removed;      /* deleted; kept because pointers to it remain */
  uint32_t incarnation; /* changes with born_ms and the address: another server
                           process has the name */
  /* last known state */
  SsServerState state;
  int64_t state_ms;     /* the state was requested at this time or earlier */
  int64_t reachable_ms; /* when it last answered */
  int64_t reported_ms;  /* when the last unsolicited report arrived */
  int64_t indirect_since_ms; /* since when a VM that does not own it passes its
                                reports on; 0: its owner reports */
  int64_t direct_until_ms;   /* subscribe at the owner until then */
  uint32_t outstanding;      /* requests of this VM outstanding there */
  double behind_ms; /* mean wait of reads for their floor; 0: not known */
  /* cached owner */
  uint64_t owner_generation;
  const char *owner;
} SsTarget;

typedef struct
{
  char *name;
  int64_t staleness_ms;
} SsReadKind;

typedef struct
{
  char *name;
  int64_t version;
  char *group;
  char *flow;         /* shares the targets' connections as one (queue.h) */
  char *default_kind; /* empty: statements go to the primary */
  bool acknowledge_majority;
  bool identifies_callers; /* a user name identifies one caller */
  uint32_t weight;
  int64_t timeout_ms;      /* of a statement; 0: the VM's setting */
  uint32_t urgency;        /* 0 is the most urgent */
  int64_t latency_goal_ms; /* of a statement, from its arrival; 0: none */
  bool is_public;          /* its callers need no key */
  SsReadKind kinds[SS_CONFIG_KINDS_MAX];
  uint32_t kind_count;
} SsService;

/* An organisation whose callers identify themselves by keys. */
typedef struct
{
  char *name;
  bool is_limited;       /* the two limits below apply */
  uint32_t rate_per_s;   /* operations */
  uint32_t burst;        /* operations */
  GHashTable *verifiers; /* name of a key -> its verifier; NULL: the keys are
                            known by their digests only */
} SsOrganisation;

/* The voters of a group in one set (voters.h). */
typedef struct
{
  uint32_t count;  /* with those that are not listed; 0: there is no such set */
  uint32_t listed; /* bit set of SsGroup.servers: those that are */
} SsVoterCount;

typedef struct SsVoters SsVoters;

typedef struct
{
  char *name;
  int64_t version;
  uint64_t term;
  char *primary;   /* empty while a promotion runs */
  char *operation; /* id of the promotion or command that wrote this version */
  int64_t changed_ms;          /* when this VM adopted this version */
  int64_t no_primary_since_ms; /* since when this VM knows of no primary in this
                         term; 0: a primary is set */
  int64_t lost_ms; /* since when the platform, restored from a copy, is known to
                      hold older content or none; 0: it does not */
  int64_t confirmed_ms; /* when the last query was sent by which the platform
                           confirmed this version as current; 0: never */
  SsTarget *servers[SS_CONFIG_SERVERS_MAX];
  uint32_t server_count;
  SsTarget
      *primary_server;  /* of servers, the one that primary names; or NULL */
  SsVoterCount current; /* the voters in force */
  SsVoterCount former;  /* those before a change that has not ended */
} SsGroup;

typedef struct
{
  GTree *objects; /* key -> SsStoredObject */
  GTree *services;
  GTree *targets;
  GHashTable *targets_by_group; /* group -> GPtrArray of SsTarget (borrowed) */
  GTree *groups;
  GTree *voters;               /* group -> SsVoters */
  GHashTable *max_connections; /* group -> limit for each of its servers */
  GTree *organisations; /* name -> SsOrganisation; NULL: callers need no key */
  GHashTable *keys;     /* digest of a key -> SsOrganisation (borrowed); NULL if
                           organisations is */
  bool has_organisation_objects; /* organisations has those of objects of their
                                    own, and none of routes */
  int64_t transaction_idle_ms;   /* 0: the VM's setting */
  uint64_t hash;                 /* of all objects; equal on VMs in sync */
  int64_t revision; /* version of the platform that objects is complete to */
  int64_t sequence; /* the highest of all objects */
} SsConfig;

typedef struct
{
  char *key;
  int64_t version;
  GBytes *value;
  GBytes *compressed; /* of value, for other VMs; NULL: not compressed yet */
  bool deleted;
  int64_t sequence;     /* as in SsObject */
  int64_t adopted_ms;   /* when this VM adopted this version */
  int64_t seen_version; /* the latest version known at the platform, which may
                           have older content after a restore */
  bool seen_deleted;    /* that version is a deletion */
} SsStoredObject;

typedef enum
{
  SS_ADOPT_NOT_NEWER,
  SS_ADOPT_DONE,
  SS_ADOPT_INVALID
} SsAdoption;

void ss_config_init (SsConfig *config);
void ss_config_finish (SsConfig *config);

/* ss_config_adopt: adopts OBJECT if it is newer than the stored one.  On
 * SS_ADOPT_INVALID, *ERROR is a message that the caller frees, and the
 * previous object stays in force.
 */
SsAdoption ss_config_adopt (SsConfig *config, const SsObject *object,
                            int64_t now_ms, char **error);

/* ss_config_check: validates VALUE as the object under KEY.  Returns NULL, or
 * an error message that the caller frees.
 */
char *ss_config_check (const char *key, const char *value,
                       uint32_t value_bytes);

SsService *ss_config_service (const SsConfig *config, const char *name);
SsTarget *ss_config_target (const SsConfig *config, const char *name);
SsGroup *ss_config_group (const SsConfig *config, const char *name);
/* ss_config_organisation, ss_config_key: return the organisation of this name,
 * or of the key with this digest; NULL if there is none.
 */
SsOrganisation *ss_config_organisation (const SsConfig *config,
                                        const char *name);
SsOrganisation *ss_config_key (const SsConfig *config, const char *digest);
/* ss_config_voters: returns the voters of GROUP, or NULL: the servers that the
 * platform lists.
 */
const SsVoters *ss_config_voters (const SsConfig *config, const char *group);
/* ss_config_group_targets: returns all known targets of GROUP, removed ones
 * too; NULL: there are none.
 */
const GPtrArray *ss_config_group_targets (const SsConfig *config,
                                          const char *group);
const SsStoredObject *ss_config_object (const SsConfig *config,
                                        const char *key);

/* ss_config_max_connections: returns the limit on all connections to TARGET:
 * its own or its group's; 0 if neither is configured.
 */
uint32_t ss_config_max_connections (const SsConfig *config,
                                    const SsTarget *target);

/* ss_service_staleness: returns the staleness bound of KIND in milliseconds, 0
 * for "session", or -1 if the service has no such kind.
 */
int64_t ss_service_staleness (const SsService *service, const char *kind);

/* ss_config_group_staleness: returns the longest staleness, in milliseconds,
 * that a kind of read of GROUP accepts; 0 if there is none.
 */
int64_t ss_config_group_staleness (const SsConfig *config, const char *group);

/* ss_group_free: frees GROUP, an SsGroup. */
void ss_group_free (gpointer group);
/* ss_group_primary: returns the configured primary, or NULL. */
SsTarget *ss_group_primary (const SsGroup *group);

#endif
