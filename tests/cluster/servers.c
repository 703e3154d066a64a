#include "tests/cluster/servers.h"

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "tests/cluster/servers_internal.h"
#include "tests/world/servers.h"
#include "tests/world/store.h"

#define SLOTS 3
#define QUEUE_MAX 8
#define FIRST_TERM 3
#define TICK_MS 3
#define RECEIVE_MS 8
#define APPLY_MS 20
#define PROMOTE_MS 600
#define STEP_DOWN_AFTER_MS 1000
#define ROLL_BACK_MS 150
#define HEARTBEAT_MS 1200
#define EXPIRES_MS (3 * HEARTBEAT_MS)

GMutex cluster_servers_lock;

static const char *const zones[CLUSTER_ZONES]
    = { "aarhus-hal", "koege-hal", "odense-hal" };
static const char *const services[CLUSTER_GROUPS]
    = { "ruxe61d", "rovi55f", "huvo11a" };
static ClusterServer servers[CLUSTER_SERVERS];
static GCond slot_freed;
static GRand *rand_source;
static uint32_t promotions;
static uint32_t server_count;

ClusterServer *
cluster_servers_get (uint32_t number)
{
  return &servers[number];
}

const char *
cluster_servers_id (uint32_t server)
{
  return servers[server].id;
}

const char *
cluster_servers_service (uint32_t group)
{
  return services[group];
}

uint32_t
cluster_servers_zone (uint32_t server)
{
  return servers[server].zone;
}

uint32_t
cluster_servers_group (uint32_t server)
{
  return servers[server].group;
}

uint32_t
cluster_servers_promotions (void)
{
  return promotions;
}

uint32_t
cluster_servers_random (uint32_t below)
{
  return (uint32_t) g_rand_int_range (rand_source, 0, (gint32) below);
}

bool
cluster_servers_is_alive (uint32_t server)
{
  bool alive;

  g_mutex_lock (&cluster_servers_lock);
  alive = servers[server].alive;
  g_mutex_unlock (&cluster_servers_lock);
  return alive;
}

/* --- slots --- */

bool
cluster_servers_take_slot (ClusterServer *server)
{
  if (server->waiting >= QUEUE_MAX || world_now_ms () < server->busy_ms)
    return false;
  server->waiting++;
  while (server->running >= SLOTS)
    g_cond_wait (&slot_freed, &cluster_servers_lock);
  server->waiting--;
  server->running++;
  return true;
}

void
cluster_servers_work (ClusterServer *server, int64_t ms)
{
  ms *= server->slow_factor;
  g_mutex_unlock (&cluster_servers_lock);
  world_sleep_ms (ms);
  g_mutex_lock (&cluster_servers_lock);
  server->running--;
  g_cond_broadcast (&slot_freed);
}

/* --- entries --- */

static bool
reaches_platform (const ClusterServer *s)
{
  return cluster_links_passes (CLUSTER_NODE_SERVER (s->number),
                               CLUSTER_NODE_PLATFORM);
}

static void
heartbeat (ClusterServer *s)
{
  char *ip = world_server_ip (s->number);
  char *spec = g_strdup_printf (
      "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\","
      "\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\",\"cold_left_ms\":0,"
      "\"db_role\":\"%s\",\"sequence\":1}",
      services[s->group], ip, WORLD_SERVER_PORT, zones[s->zone], SLOTS,
      s->draining ? "draining" : "ready",
      s->is_primary ? "primary" : "replica");

  s->heartbeat_ms = world_now_ms ();
  world_store_put ("servers", s->id, spec);
  g_free (spec);
  g_free (ip);
}

static void
tick_entry (ClusterServer *s)
{
  int64_t silent_ms = world_now_ms () - s->heartbeat_ms;

  if (s->alive && reaches_platform (s))
    {
      if (silent_ms >= HEARTBEAT_MS)
        heartbeat (s);
    }
  else if (s->heartbeat_ms && silent_ms >= EXPIRES_MS)
    {
      s->heartbeat_ms = 0;
      world_store_delete ("servers", s->id);
    }
}

/* --- replication --- */

static bool
reaches (const ClusterServer *from, const ClusterServer *to)
{
  return cluster_links_passes (CLUSTER_NODE_SERVER (from->number),
                               CLUSTER_NODE_SERVER (to->number));
}

/* Returns the primary of the latest term that S receives from, or NULL. */
static ClusterServer *
find_source (const ClusterServer *s)
{
  ClusterServer *found = NULL;

  for (uint32_t i = 0; i < server_count; i++)
    {
      ClusterServer *p = &servers[i];

      if (p != s && p->alive && p->is_primary && p->group == s->group
          && reaches (p, s) && reaches (s, p)
          && (!found || p->term > found->term))
        found = p;
    }
  return found;
}

/* Returns the last entry that both logs have. */
static const ClusterCommit *
common_part (const ClusterCommit *a, const ClusterCommit *b)
{
  while (a != b)
    if (a->number > b->number)
      a = a->parent;
    else
      b = b->parent;
  return a;
}

/* Returns the last entry of the log LAST that is older than AGE_MS. */
static const ClusterCommit *
older_part (const ClusterCommit *last, int64_t age_ms)
{
  while (last->parent && last->made_ms + age_ms > world_now_ms ())
    last = last->parent;
  return last;
}

static void
receive (ClusterServer *s, const ClusterServer *p)
{
  const ClusterCommit *common = common_part (s->received, p->received);
  const ClusterCommit *ready = older_part (p->received, RECEIVE_MS);

  if (common != s->received)
    {
      s->busy_ms = world_now_ms () + ROLL_BACK_MS;
      s->applied = common_part (s->applied, common);
    }
  s->term = p->term;
  s->barred_term = 0;
  s->received = ready->number > common->number ? ready : common;
}

static void
apply (ClusterServer *s)
{
  const ClusterCommit *ready
      = older_part (s->received, (int64_t) APPLY_MS * s->lag_factor);

  if (ready->number > s->applied->number)
    s->applied = ready;
}

static void
become_replica (ClusterServer *s, const char *why)
{
  s->is_primary = false;
  s->later_ms = 0;
  world_record ("%s is a replica: %s", s->id, why);
  if (reaches_platform (s))
    heartbeat (s);
}

void
cluster_servers_step_down (ClusterServer *s, int64_t term)
{
  if (s->is_primary && s->term < term)
    become_replica (s, "STEPDOWN");
}

static void
tick_primary (ClusterServer *s, const ClusterServer *other)
{
  s->applied = s->received;
  if (!other || other->term <= s->term)
    s->later_ms = 0;
  else if (!s->later_ms)
    s->later_ms = world_now_ms ();
  else if (world_now_ms () - s->later_ms >= STEP_DOWN_AFTER_MS)
    become_replica (s, "it reaches a later primary");
}

static void
tick_server (ClusterServer *s)
{
  const ClusterServer *p = s->alive ? find_source (s) : NULL;

  if (s->alive && s->is_primary)
    tick_primary (s, p);
  else if (p && p->term >= s->term && p->term >= s->barred_term)
    receive (s, p);
  if (s->alive && !s->is_primary)
    apply (s);
  if (s->exists)
    tick_entry (s);
}

static gpointer
tick_servers (gpointer data)
{
  for (;;)
    {
      g_mutex_lock (&cluster_servers_lock);
      for (uint32_t i = 0; i < server_count; i++)
        tick_server (&servers[i]);
      g_mutex_unlock (&cluster_servers_lock);
      world_sleep_ms (TICK_MS);
    }
  return data;
}

/* --- promotions --- */

static int64_t
latest_term (uint32_t group)
{
  int64_t term = 0;

  for (uint32_t i = 0; i < server_count; i++)
    if (servers[i].group == group)
      term = MAX (term, servers[i].term);
  return term;
}

static ClusterServer *
find_leader (uint32_t group)
{
  ClusterServer *found = NULL;

  for (uint32_t i = 0; i < server_count; i++)
    if (servers[i].exists && servers[i].group == group && servers[i].is_primary
        && (!found || servers[i].term > found->term))
      found = &servers[i];
  return found;
}

uint32_t
cluster_servers_primary (uint32_t group)
{
  const ClusterServer *leader;
  uint32_t number;

  g_mutex_lock (&cluster_servers_lock);
  leader = find_leader (group);
  number = leader ? leader->number : group * CLUSTER_REPLICAS;
  g_mutex_unlock (&cluster_servers_lock);
  return number;
}

/* A promote ends PAUSE, also at a replica that does not reach the server. */
static void
resume_group (uint32_t group)
{
  for (uint32_t i = 0; i < server_count; i++)
    if (servers[i].group == group)
      servers[i].barred_term = 0;
}

static void
lead (ClusterServer *s)
{
  s->term = latest_term (s->group) + 1;
  s->is_primary = true;
  s->later_ms = 0;
  s->applied = s->received;
  resume_group (s->group);
  promotions++;
  cluster_history_leads (s->group, s->term, s->received);
  world_record ("%s leads term %" G_GINT64_FORMAT
                " of %s with %" G_GINT64_FORMAT " commits",
                s->id, s->term, services[s->group], s->received->number);
  if (reaches_platform (s))
    heartbeat (s);
}

static ClusterServer *
find_server (const char *service, const char *id)
{
  for (uint32_t i = 0; i < server_count; i++)
    if (strcmp (servers[i].id, id) == 0
        && strcmp (services[servers[i].group], service) == 0)
      return &servers[i];
  return NULL;
}

static bool
takes_orders (const ClusterServer *s)
{
  return s->alive
         && cluster_links_passes (CLUSTER_NODE_PLATFORM,
                                  CLUSTER_NODE_SERVER (s->number));
}

/* Called by the platform's stand-in. */
int
world_servers_promote (const char *service, const char *id)
{
  ClusterServer *s;
  bool taken;

  world_record ("promotion of %s of %s is asked for", id, service);
  g_mutex_lock (&cluster_servers_lock);
  s = find_server (service, id);
  taken = s && takes_orders (s);
  if (taken && find_leader (s->group) != s)
    {
      g_mutex_unlock (&cluster_servers_lock);
      world_sleep_ms (PROMOTE_MS);
      g_mutex_lock (&cluster_servers_lock);
      taken = takes_orders (s);
      if (taken && find_leader (s->group) != s)
        lead (s);
    }
  g_mutex_unlock (&cluster_servers_lock);
  return taken ? 200 : 409;
}

/* --- faults --- */

static void
end_connections (ClusterServer *s)
{
  struct linger at_once = { .l_onoff = 1, .l_linger = 0 };

  shutdown (s->listener, SHUT_RDWR);
  for (guint i = 0; i < s->fds->len; i++)
    {
      int fd = GPOINTER_TO_INT (g_ptr_array_index (s->fds, i));

      setsockopt (fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
      shutdown (fd, SHUT_RDWR);
    }
}

void
cluster_servers_crash (uint32_t server)
{
  ClusterServer *s = &servers[server];

  g_mutex_lock (&cluster_servers_lock);
  if (s->alive)
    {
      world_record ("%s of %s crashes, %s", s->id, services[s->group],
                    s->is_primary ? "a primary" : "a replica");
      s->alive = false;
      s->boot++;
      end_connections (s);
    }
  g_mutex_unlock (&cluster_servers_lock);
}

/* Returns false if the address is not free. */
static bool
listen_at (ClusterServer *s)
{
  char *ip = world_server_ip (s->number);

  s->listener = world_listen (ip, WORLD_SERVER_PORT);
  g_free (ip);
  if (s->listener < 0)
    return false;
  world_accept (s->listener, cluster_session_serve, s->number);
  return true;
}

/* A server that starts again forgets PAUSE, and that it led if another one was
 * promoted.
 */
void
cluster_servers_return (uint32_t server)
{
  ClusterServer *s = &servers[server];

  g_mutex_lock (&cluster_servers_lock);
  if (s->exists && !s->alive && listen_at (s))
    {
      s->barred_term = 0;
      s->later_ms = 0;
      s->is_primary = s->is_primary && find_leader (s->group) == s;
      s->alive = true;
      world_record ("%s returns as %s of term %" G_GINT64_FORMAT, s->id,
                    s->is_primary ? "primary" : "replica", s->term);
      if (reaches_platform (s))
        heartbeat (s);
    }
  g_mutex_unlock (&cluster_servers_lock);
}

void
cluster_servers_slow (uint32_t server, uint32_t factor)
{
  g_mutex_lock (&cluster_servers_lock);
  servers[server].slow_factor = factor;
  g_mutex_unlock (&cluster_servers_lock);
}

void
cluster_servers_delay_status (uint32_t server, uint32_t ms)
{
  g_mutex_lock (&cluster_servers_lock);
  servers[server].status_delay_ms = ms;
  g_mutex_unlock (&cluster_servers_lock);
}

void
cluster_servers_lag (uint32_t server, uint32_t factor)
{
  g_mutex_lock (&cluster_servers_lock);
  servers[server].lag_factor = factor;
  g_mutex_unlock (&cluster_servers_lock);
}

static void
init_server (ClusterServer *s, uint32_t number, uint32_t group, uint32_t zone)
{
  s->number = number;
  s->group = group;
  s->zone = zone;
  s->id = g_strdup_printf ("i-%08x", 0x7f3a91c2U * (number + 3));
  s->exists = true;
  s->term = FIRST_TERM;
  s->received = cluster_history_first_commit (group);
  s->applied = s->received;
  s->lag_factor = 1;
  s->slow_factor = 1;
  s->fds = g_ptr_array_new ();
}

bool
cluster_servers_replace (uint32_t server)
{
  ClusterServer *old = &servers[server];
  ClusterServer *s;
  bool comes;

  g_mutex_lock (&cluster_servers_lock);
  comes = server_count < CLUSTER_SERVERS && old->alive && !old->draining;
  if (comes)
    {
      s = &servers[server_count];
      init_server (s, server_count, old->group, old->zone);
      s->alive = listen_at (s);
      server_count++;
      old->draining = true;
      world_record ("%s replaces %s of %s", s->id, old->id, services[s->group]);
      if (reaches_platform (s))
        heartbeat (s);
      if (reaches_platform (old))
        heartbeat (old);
    }
  g_mutex_unlock (&cluster_servers_lock);
  return comes;
}

void
cluster_servers_leave (uint32_t server)
{
  ClusterServer *s = &servers[server];

  cluster_servers_crash (server);
  g_mutex_lock (&cluster_servers_lock);
  world_record ("%s leaves", s->id);
  s->exists = false;
  s->is_primary = false;
  world_store_delete ("servers", s->id);
  g_mutex_unlock (&cluster_servers_lock);
}

bool
cluster_servers_start (uint32_t seed)
{
  bool started = true;

  rand_source = g_rand_new_with_seed (seed);
  for (uint32_t i = 0; i < CLUSTER_FIRST_SERVERS; i++)
    init_server (&servers[i], i, i / CLUSTER_REPLICAS, i % CLUSTER_ZONES);
  server_count = CLUSTER_FIRST_SERVERS;
  for (uint32_t i = 0; i < server_count; i++)
    {
      servers[i].is_primary = i % CLUSTER_REPLICAS == i / CLUSTER_REPLICAS;
      servers[i].alive = true;
      started = started && listen_at (&servers[i]);
      heartbeat (&servers[i]);
    }
  g_thread_unref (g_thread_new ("servers", tick_servers, NULL));
  return started;
}
