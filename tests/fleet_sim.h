/* fleet_sim: a deterministic simulation of many VMs with the line dialect.
 *
 * The cores of all VMs, the platform's store and the servers of several groups
 * run on one simulated clock, without a network.  Each VM has a clock of its
 * own.  Faults are injected by setting the fields of FleetVm and FleetServer.
 */
#ifndef SS_TESTS_FLEET_SIM_H
#define SS_TESTS_FLEET_SIM_H

#include "core/internal.h"

#define FLEET_VMS_MAX 120
#define FLEET_DOMAINS 6
#define FLEET_SERVERS 3 /* of a group, in the first failure domains */
#define FLEET_GROUPS_MAX 24
/* Time from the start until every group has its primary. */
#define FLEET_SETTLE_MS 5000

typedef struct FleetSim FleetSim;

typedef enum
{
  FLEET_STORE_SERVES,
  FLEET_STORE_REFUSES, /* at once */
  FLEET_STORE_SILENT   /* calls time out */
} FleetStoreMode;

typedef struct
{
  char name[16];
  char domain[8];
  SsNode node;
  bool up;
  uint32_t incarnation;
  int64_t clock_offset_ms;   /* of its clock to the simulation's */
  int64_t paused_until_ms;   /* events wait until then */
  uint32_t partition;        /* reaches VMs of the same partition only */
  uint32_t server_partition; /* reaches servers of the same one only */
  FleetStoreMode store;
  int64_t call_ms; /* way of a promotion call to the platform */
  int64_t watch_since[SS_WATCH_COUNT]; /* outstanding watches; 0: none */
  int64_t watch_until_ms[SS_WATCH_COUNT];
  uint32_t sessions;
  uint32_t statements; /* sent by its callers */
  bool stopped;        /* its graceful shutdown has ended */
} FleetVm;

/* Faults of the writes of a promotion: those of group objects and of the duty
 * object.  Each has a probability and a longest time.
 */
typedef struct
{
  bool vm_objects;         /* also of the writes of VMs' objects */
  uint32_t pause_permille; /* the VM is paused before it gets the answer */
  int64_t pause_max_ms;
  uint32_t lost_permille; /* the answer is lost */
  uint32_t late_permille; /* so is it, and the write is executed later */
  int64_t late_max_ms;
  /* Of promotion calls: not answered, and carried out later. */
  uint32_t call_late_permille;
  int64_t call_late_max_ms;
} FleetWriteFaults;

/* A promotion call as the platform gets it. */
typedef struct
{
  int64_t arrived_ms;
  int64_t fencing_token;
  uint32_t group;
  uint32_t vm;
} FleetCall;

/* An entry of a primary's log on its way to a replica. */
typedef struct
{
  SsPosition position;
  int64_t due_ms;
  uint32_t source; /* index of the primary */
} FleetEntry;

typedef struct
{
  char name[16];
  char domain[8];
  uint32_t group;
  SsServerRole role;
  uint64_t term;
  uint64_t barred_term;
  SsPosition position;
  bool down;
  uint32_t partition;   /* reaches servers of the same one only */
  int64_t overtaken_ms; /* since when, as a primary, it reaches a later one */
  uint32_t connections; /* open, with those of VMs that lost power */
  uint32_t connects;    /* attempts */
  uint32_t over_cap;    /* of them, refused as too many were open */
  uint32_t peak;        /* most connections open at once */
  GQueue receives;      /* of FleetEntry: what a replica receives yet */
} FleetServer;

/* What a test is told of; a member that is NULL is not called. */
typedef struct
{
  /* VM replies to a caller or ends its session. */
  void (*caller) (uint32_t vm, const SsAction *action);
  /* A primary has committed what the statement LABEL asked for. */
  void (*committed) (const char *label);
} FleetObserver;

struct FleetSim
{
  FleetVm vms[FLEET_VMS_MAX];
  uint32_t vm_count;
  FleetServer servers[FLEET_GROUPS_MAX * FLEET_SERVERS];
  uint32_t group_count;
  uint32_t max_connections; /* of a server */
  uint32_t organisation_count;
  /* How long a server counts a connection that was closed. */
  int64_t close_ms;
  uint32_t fail_permille; /* connect attempts that break */
  int64_t statement_ms; /* run time of callers' statements; 0: as all others */
  /* Way of a commit to the replicas; 0: no commit advances the log. */
  int64_t replicate_ms;
  int64_t handshake_ms; /* of a connection to a server; 0: the default */
  FleetObserver observer;
  GRand *rand;
  uint32_t seed;
  int64_t now_ms;
  int64_t version;  /* of the last object written */
  int64_t sequence; /* the operator's number of the routes; 0: none */
  GHashTable *objects;
  GHashTable *connections;
  GQueue *schedule; /* of events, by the millisecond that they are due in */
  uint32_t promotions;
  GArray *calls; /* of FleetCall, in the order that they were sent */
  FleetWriteFaults write_faults;
  GQueue late_writes;  /* of LateWrite */
  GQueue late_calls;   /* of LateCall */
  char *organisations; /* member of the routes, JSON; NULL: none */
  const char *key;     /* of callers opened from now on; NULL: none */
  /* Replies to callers. */
  uint32_t rate_limited;
  uint32_t failed;                     /* any other */
  uint32_t retry_after_ms;             /* of the last that was limited */
  int64_t replied_ms;                  /* when the last one was sent */
  uint32_t ran;                        /* replies with the verdict RAN */
  uint32_t not_run;                    /* and all others */
  uint32_t in_doubt;                   /* of those, with MAY_HAVE_RUN */
  uint32_t by_reason[SS_REASON_COUNT]; /* of those */
  uint32_t foreign; /* statements that got a connection of another organisation
                       than their caller's */
};

/* fleet_init: starts VMS VMs, spread over the failure domains, and GROUPS
 * groups, and waits until they have settled.  The caller owns the memory, which
 * is large.
 */
void fleet_init (FleetSim *sim, uint32_t seed, uint32_t vms, uint32_t groups);
void fleet_finish (FleetSim *sim);
/* fleet_add_group: adds a group, its servers and its service. */
void fleet_add_group (FleetSim *sim);
/* fleet_put_routes: writes VALUE, the operator's configuration with the number
 * SEQUENCE, to the store.
 */
void fleet_put_routes (FleetSim *sim, const char *value, int64_t sequence);
void fleet_advance (FleetSim *sim, int64_t ms);
/* fleet_open: opens one session a service at every VM. */
void fleet_open (FleetSim *sim);
/* fleet_set_organisations: sets the member "organisations" of the routes. */
void fleet_set_organisations (FleetSim *sim, const char *json);
/* fleet_add_organisations: adds COUNT organisations; callers need a key then.
 */
void fleet_add_organisations (FleetSim *sim, uint32_t count);
/* fleet_connect: opens a session of GROUP's service at VM for ORGANISATION and
 * returns its caller's id.
 */
uint64_t fleet_connect (FleetSim *sim, uint32_t vm, uint32_t group,
                        uint32_t organisation);
/* fleet_disconnect: CALLER of VM closes its connection. */
void fleet_disconnect (FleetSim *sim, uint32_t vm, uint64_t caller);
/* fleet_send: sends TEXT from CALLER, of ORGANISATION. */
void fleet_send (FleetSim *sim, uint32_t vm, uint64_t caller,
                 uint32_t organisation, const char *text);
/* fleet_cancel: CALLER of VM cancels its statement. */
void fleet_cancel (FleetSim *sim, uint32_t vm, uint64_t caller);
/* fleet_drain: sets whether the server INDEX is to be released. */
void fleet_drain (FleetSim *sim, uint32_t index, bool draining);
/* fleet_remove_target: removes the server INDEX from the configuration. */
void fleet_remove_target (FleetSim *sim, uint32_t index);
/* fleet_list_target: lists the server INDEX again. */
void fleet_list_target (FleetSim *sim, uint32_t index);
/* fleet_list_empty_address: lists an entry NAME of GROUP where no server runs.
 */
void fleet_list_empty_address (FleetSim *sim, const char *name, uint32_t group);
/* fleet_owned: returns how many connections to the server INDEX its owners
 * have, with control connections.
 */
uint32_t fleet_owned (FleetSim *sim, uint32_t index);
/* fleet_stop: VM loses power; its connections stay open at the servers for some
 * seconds.  fleet_start: starts it again.
 */
void fleet_stop (FleetSim *sim, uint32_t vm);
void fleet_start (FleetSim *sim, uint32_t vm);
/* fleet_terminate: VM begins its graceful shutdown.  It loses power once it has
 * stopped.
 */
void fleet_terminate (FleetSim *sim, uint32_t vm);
/* fleet_find: returns the VM NAME, or NULL. */
FleetVm *fleet_find (FleetSim *sim, const char *name);
/* fleet_cut: separates the failure domains whose bit is set in DOMAINS, and
 * their servers, from the others; the store answers VMs of these domains if
 * STORE_INSIDE, or else the others.  0: heals the cut.
 */
void fleet_cut (FleetSim *sim, uint32_t domains, bool store_inside);
/* fleet_object: returns the value of the store's object KEY, or NULL. */
const char *fleet_object (FleetSim *sim, const char *key);
/* fleet_primary: returns the primary that the store names for GROUP, or "". */
const char *fleet_primary (FleetSim *sim, uint32_t group);
/* fleet_group: returns GROUP as VM knows it, or NULL. */
SsGroup *fleet_group (FleetSim *sim, uint32_t vm, uint32_t group);
/* fleet_lease_holds: whether VM relies on a lease on the primary of GROUP that
 * it knows, now by its own clock.
 */
bool fleet_lease_holds (FleetSim *sim, uint32_t vm, uint32_t group);
/* fleet_calls: returns how many calls on the platform for PURPOSE all VMs that
 * are up have made since their start.
 */
uint64_t fleet_calls (const FleetSim *sim, SsPlatformPurpose purpose);
/* fleet_bytes: returns how many bytes of messages of KIND all VMs that are up
 * have sent to other failure domains since their start.
 */
uint64_t fleet_bytes (const FleetSim *sim, SsTrafficKind kind);

#endif
