/* fleet_sim_internal: what the modules of the simulation of many VMs share. */
#ifndef SS_TESTS_FLEET_SIM_INTERNAL_H
#define SS_TESTS_FLEET_SIM_INTERNAL_H

#include "tests/fleet_sim.h"

#define FLEET_STATUS_CELLS 8

/* An object of the store. */
typedef struct
{
  char *value; /* NULL: deleted */
  int64_t version;
  int64_t sequence; /* of a configuration; 0: none */
} Stored;

/* An event for one VM, with the memory that it points to. */
typedef struct
{
  FleetVm *vm;
  uint32_t incarnation;
  SsEvent event;
  SsTargetResult result;
  GBytes *bytes;
  GStringChunk *texts;
  SsObject *objects;
  const char *cells[FLEET_STATUS_CELLS];
  SsWatch watch; /* of SS_EVENT_PLATFORM_OBJECTS */
} Scheduled;

/* fleet_schedule: adds an event of KIND for VM in AFTER_MS; the schedule owns
 * it.
 */
Scheduled *fleet_schedule (FleetSim *sim, FleetVm *vm, int64_t after_ms,
                           SsEventKind kind);
/* fleet_find_server: returns the server NAME, or NULL. */
FleetServer *fleet_find_server (FleetSim *sim, const char *name);

/* --- fleet_platform.c --- */

void fleet_platform_init (FleetSim *sim);
void fleet_platform_finish (FleetSim *sim);
/* fleet_store_put: writes VALUE (NULL: deletes the object) and answers the
 * watches that wait for it.
 */
void fleet_store_put (FleetSim *sim, const char *key, const char *value);
/* fleet_call_platform: carries out the platform call A of VM. */
void fleet_call_platform (FleetSim *sim, FleetVm *vm, const SsAction *a);
/* fleet_expire_watches: answers the watches of VM whose time is over. */
void fleet_expire_watches (FleetSim *sim, FleetVm *vm);
/* fleet_execute_late: executes the writes and promotion calls that are due. */
void fleet_execute_late (FleetSim *sim);

#endif
