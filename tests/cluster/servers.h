/* servers: a stand-in of the database servers of several services.
 *
 * Each service is a group of servers with logs: one leads a term, the others
 * receive its log and apply it later.  A server that has been superseded goes
 * on until it is told to step down, or for a second after it reaches the
 * primary of a later term.
 */
#ifndef SS_TESTS_CLUSTER_SERVERS_H
#define SS_TESTS_CLUSTER_SERVERS_H

#include <stdbool.h>
#include <stdint.h>

/* cluster_servers_start: starts all servers and writes their entries to the
 * store.  Returns false if an address is not free.
 */
bool cluster_servers_start (uint32_t seed);
/* cluster_servers_id: the name of a server, which lives as long as it does. */
const char *cluster_servers_id (uint32_t server);
const char *cluster_servers_service (uint32_t group);
uint32_t cluster_servers_zone (uint32_t server);
uint32_t cluster_servers_group (uint32_t server);
bool cluster_servers_is_alive (uint32_t server);
/* cluster_servers_primary: the server that leads the latest term of GROUP. */
uint32_t cluster_servers_primary (uint32_t group);
uint32_t cluster_servers_promotions (void);

/* cluster_servers_crash: ends a server with all its connections; it keeps its
 * log.
 */
void cluster_servers_crash (uint32_t server);
/* cluster_servers_return: starts a server that has crashed. */
void cluster_servers_return (uint32_t server);
/* cluster_servers_slow: statements take FACTOR times as long. */
void cluster_servers_slow (uint32_t server, uint32_t factor);
/* cluster_servers_delay_status: STATUS takes MS more than other statements, as
 * on a connection that loses packets.
 */
void cluster_servers_delay_status (uint32_t server, uint32_t ms);
/* cluster_servers_lag: a replica applies FACTOR times as late. */
void cluster_servers_lag (uint32_t server, uint32_t factor);
/* cluster_servers_replace: a new server with the log of SERVER's group comes,
 * and SERVER is draining.  Returns false if no more may come.
 */
bool cluster_servers_replace (uint32_t server);
/* cluster_servers_leave: ends a server that is draining. */
void cluster_servers_leave (uint32_t server);

#endif
