/* links: which VMs, servers and the platform reach each other.
 *
 * Nodes are numbered: first the VMs, then the servers, then the platform.
 * Connections between VMs pass a relay; servers and the platform's stand-in
 * look up themselves what reaches them.  What is withheld during a cut arrives
 * after it, as with a network that repeats what was lost.
 */
#ifndef SS_TESTS_CLUSTER_LINKS_H
#define SS_TESTS_CLUSTER_LINKS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "tests/world/net.h"

#define CLUSTER_ZONES 3
#define CLUSTER_GROUPS 3
#define CLUSTER_REPLICAS 3
/* The servers at the start, and those that replace one of them. */
#define CLUSTER_FIRST_SERVERS (CLUSTER_GROUPS * CLUSTER_REPLICAS)
#define CLUSTER_SERVERS (CLUSTER_FIRST_SERVERS + 12)

#define CLUSTER_NODE_VM(vm) (vm)
#define CLUSTER_NODE_SERVER(server) (WORLD_VMS + (server))
#define CLUSTER_NODE_PLATFORM (WORLD_VMS + CLUSTER_SERVERS)
#define CLUSTER_NODES (CLUSTER_NODE_PLATFORM + 1)

/* cluster_links_cut: withholds what FROM sends to TO.  Cuts add up: each is
 * ended by a call of heal.
 */
void cluster_links_cut (uint32_t from, uint32_t to);
void cluster_links_heal (uint32_t from, uint32_t to);
bool cluster_links_passes (uint32_t from, uint32_t to);
/* cluster_links_await: waits until FROM reaches TO, for LIMIT_MS at most (below
 * 0: no limit).  Returns whether it does.
 */
bool cluster_links_await (uint32_t from, uint32_t to, int64_t limit_ms);
/* cluster_links_peer: returns the VM that has opened the connection FD, or -1.
 */
int cluster_links_peer (int fd);
/* cluster_links_start: starts the relays between the VMs.  Returns false if an
 * address is not free.
 */
bool cluster_links_start (void);

#endif
