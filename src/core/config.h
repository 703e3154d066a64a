/* config: the configuration in force, as objects of the platform.
 *
 * Objects are adopted only in rising versions.  Keys are service/NAME,
 * target/NAME and group/NAME; routes/NAME replaces all services at once, and
 * says which groups there are.  Other keys are kept and passed on unread.
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

/* What a server last said of itself. */
typedef struct
{
  bool reachable;
  bool refused; /* its address refuses connections */
  SsServerRole role;
  uint64_t shown_term;
  SsPosition held;
  SsPosition applied;
  uint32_t silence_ms; /* since it heard its primary */
  uint64_t follow_term;
  SsHistory history;
  uint32_t wait_ms;     /* predicted for a new statement */
  uint32_t lag_ms;      /* of what it has applied behind its primary */
  uint64_t barred_term; /* it receives nothing below this term; 0: it does */
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
  uint32_t max_connections; /* 0: as its group's */
  uint32_t slots;           /* statements that it runs at once; 0: unknown */
  int64_t born_ms;          /* Unix time of its start; 0: unknown */
  bool draining;
  bool gone; /* kept for what still points here */
  /* view of its state */
  SsServerState state;
  int64_t state_ms;     /* when the server was asked, at the latest */
  int64_t reachable_ms; /* when it last answered */
  uint32_t outstanding; /* requests that this vm has at it */
  /* cache of its owner */
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
  char *default_kind; /* empty: statements go to the primary */
  bool acknowledge_majority;
  bool knows_callers; /* by their user names */
  uint32_t weight;
  int64_t timeout_ms; /* of a statement; 0: the vm's setting */
  SsReadKind kinds[SS_CONFIG_KINDS_MAX];
  uint32_t kind_count;
} SsService;

typedef struct
{
  char *name;
  int64_t version;
  uint64_t term;
  char *primary; /* empty while a promotion runs */
  char *operation;
  int64_t changed_ms;   /* when this vm adopted it */
  int64_t unnamed_ms;   /* since when this vm knows of no primary at this term;
                           0: one is named */
  int64_t confirmed_ms; /* when the platform was last asked whether this
                           version is in force, and said so; 0: never */
  SsTarget *servers[SS_CONFIG_SERVERS_MAX];
  uint32_t server_count;
} SsGroup;

typedef struct
{
  GTree *objects; /* key -> SsStoredObject */
  GTree *services;
  GTree *targets;
  GTree *groups;
  GHashTable *max_connections; /* group -> of each of its servers */
  int64_t transaction_idle_ms; /* 0: the vm's setting */
  uint64_t hash;               /* of all objects, for comparing two vms' */
  int64_t revision;
} SsConfig;

typedef struct
{
  char *key;
  int64_t version;
  GBytes *value;
  bool deleted;
} SsStoredObject;

typedef enum
{
  SS_ADOPT_OLD,
  SS_ADOPT_DONE,
  SS_ADOPT_INVALID
} SsAdoption;

void ss_config_init (SsConfig *config);
void ss_config_finish (SsConfig *config);

/* ss_config_adopt: takes OBJECT where its version is higher than the one
 * held.  On SS_ADOPT_INVALID, *ERROR is a message to be freed and what was in
 * force stays in force.
 */
SsAdoption ss_config_adopt (SsConfig *config, const SsObject *object,
                            int64_t now_ms, char **error);

/* ss_config_check: whether KEY and VALUE would be adopted; returns NULL or a
 * message to be freed.
 */
char *ss_config_check (const char *key, const char *value,
                       uint32_t value_bytes);

SsService *ss_config_service (const SsConfig *config, const char *name);
SsTarget *ss_config_target (const SsConfig *config, const char *name);
SsGroup *ss_config_group (const SsConfig *config, const char *name);
const SsStoredObject *ss_config_object (const SsConfig *config,
                                        const char *key);

/* ss_config_max_connections: of all connections at TARGET together. */
uint32_t ss_config_max_connections (const SsConfig *config,
                                    const SsTarget *target);

/* ss_service_staleness: of KIND in milliseconds; 0 for "session", -1 where
 * the service has no such kind.
 */
int64_t ss_service_staleness (const SsService *service, const char *kind);

/* ss_group_majority: how many servers make one. */
uint32_t ss_group_majority (const SsGroup *group);
/* ss_group_primary: the configured primary, or NULL. */
SsTarget *ss_group_primary (const SsGroup *group);

#endif
