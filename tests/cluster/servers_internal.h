/* servers_internal: what the servers and their sessions share. */
#ifndef SS_TESTS_CLUSTER_SERVERS_INTERNAL_H
#define SS_TESTS_CLUSTER_SERVERS_INTERNAL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "tests/cluster/history.h"
#include "tests/cluster/links.h"
#include "tests/cluster/servers.h"

typedef struct
{
  uint32_t number;
  uint32_t group;
  uint32_t zone;
  char *id;
  bool exists; /* has come and has not left */
  bool alive;
  bool draining;
  bool is_primary;
  int64_t term;
  int64_t barred_term;
  const ClusterCommit *received; /* the last entry of its log */
  const ClusterCommit *applied;  /* the last one that reads see */
  int64_t later_ms;     /* since when it reaches a later primary; 0: not */
  int64_t busy_ms;      /* until when it rolls back */
  int64_t heartbeat_ms; /* when its entry was last written */
  int64_t status_delay_ms;
  uint32_t lag_factor;
  uint32_t slow_factor;
  uint32_t running;
  uint32_t waiting;
  uint32_t boot;
  GPtrArray *fds; /* of its connections */
  int listener;
} ClusterServer;

/* Guards all servers and sessions. */
extern GMutex cluster_servers_lock;

/* cluster_session_serve: serves one connection of the server NUMBER. */
void cluster_session_serve (int fd, uint32_t number);

/* The functions below are called with the lock held. */

ClusterServer *cluster_servers_get (uint32_t number);
void cluster_servers_step_down (ClusterServer *server, int64_t term);
/* cluster_servers_take_slot: waits for a slot.  Returns false if too many wait
 * or the server rolls back.
 */
bool cluster_servers_take_slot (ClusterServer *server);
/* cluster_servers_work: holds the slot for MS, without the lock, and frees it.
 */
void cluster_servers_work (ClusterServer *server, int64_t ms);
uint32_t cluster_servers_random (uint32_t below);

#endif
