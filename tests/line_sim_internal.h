/* line_sim_internal: what the modules of the simulation share. */
#ifndef SS_TESTS_LINE_SIM_INTERNAL_H
#define SS_TESTS_LINE_SIM_INTERNAL_H

#include "tests/line_sim.h"

typedef struct
{
  int64_t at_ms;
  SsEvent event;
  SsTargetResult result;
  GBytes *wire;
  /* Copies of the objects' texts, which may change before delivery. */
  GStringChunk *texts;
  char *cells[9];
  uint32_t cell_count;
  SsObject *objects;
} ScheduledEvent;

/* line_sim_schedule: adds an event of KIND in AFTER_MS; the schedule owns it.
 */
ScheduledEvent *line_sim_schedule (LineSim *sim, int64_t after_ms,
                                   SsEventKind kind);
/* line_sim_violation: counts a violation and records the first one. */
void line_sim_violation (LineSim *sim, const char *what, const char *label,
                         const char *text);
/* --- line_server.c --- */

/* line_server_connect, line_server_query: carry out ACTION of the core at a
 * server.
 */
void line_server_connect (LineSim *sim, const SsAction *action);
void line_server_query (LineSim *sim, const SsAction *action);
void line_server_free_connection (gpointer connection);
/* line_server_replicate: has replicas receive and apply what is due. */
void line_server_replicate (LineSim *sim);
/* line_sim_find_server: returns the server NAME, or NULL. */
LineServer *line_sim_find_server (LineSim *sim, const char *name);

/* line_sim_platform_action: carries out ACTION of the core at the platform. */
void line_sim_platform_action (LineSim *sim, const SsAction *action);
/* line_sim_new_objects, line_sim_new_versions: return empty tables of the
 * store.
 */
GTree *line_sim_new_objects (void);
GHashTable *line_sim_new_versions (void);

#endif
