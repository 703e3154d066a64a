#include "tests/cluster/links.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define AWAIT_STEP_MS 3
#define CONNECT_TIMEOUT_MS 1000
#define PUMP_BYTES 65536

static gint cuts[CLUSTER_NODES][CLUSTER_NODES];

void
cluster_links_cut (uint32_t from, uint32_t to)
{
  g_atomic_int_inc (&cuts[from][to]);
}

void
cluster_links_heal (uint32_t from, uint32_t to)
{
  g_atomic_int_add (&cuts[from][to], -1);
}

bool
cluster_links_passes (uint32_t from, uint32_t to)
{
  return g_atomic_int_get (&cuts[from][to]) == 0;
}

bool
cluster_links_await (uint32_t from, uint32_t to, int64_t limit_ms)
{
  int64_t due_ms = world_now_ms () + limit_ms;

  while (!cluster_links_passes (from, to))
    {
      if (limit_ms >= 0 && world_now_ms () >= due_ms)
        return false;
      world_sleep_ms (AWAIT_STEP_MS);
    }
  return true;
}

int
cluster_links_peer (int fd)
{
  struct sockaddr_in address;
  socklen_t bytes = sizeof address;
  char text[INET_ADDRSTRLEN];

  if (getpeername (fd, (struct sockaddr *) &address, &bytes) < 0)
    return -1;
  inet_ntop (AF_INET, &address.sin_addr, text, sizeof text);
  for (uint32_t i = 0; i < WORLD_VMS; i++)
    {
      char *ip = world_vm_ip (i);
      bool same = strcmp (ip, text) == 0;

      g_free (ip);
      if (same)
        return (int) i;
    }
  return -1;
}

/* --- the relays --- */

/* One direction of a relayed connection. */
typedef struct
{
  int from_fd;
  int to_fd;
  uint32_t from;
  uint32_t to;
} Pump;

static gpointer
run_pump (gpointer data)
{
  Pump *p = data;
  char *bytes = g_malloc (PUMP_BYTES);
  ssize_t got;

  while ((got = recv (p->from_fd, bytes, PUMP_BYTES, 0)) > 0)
    {
      cluster_links_await (p->from, p->to, -1);
      if (!world_send (p->to_fd, bytes, (size_t) got))
        break;
    }
  /* Not closed: the other direction may still use the descriptors. */
  shutdown (p->from_fd, SHUT_RDWR);
  shutdown (p->to_fd, SHUT_RDWR);
  g_free (bytes);
  g_free (p);
  return NULL;
}

static GThread *
start_pump (int from_fd, int to_fd, uint32_t from, uint32_t to)
{
  Pump *p = g_new (Pump, 1);

  *p = (Pump){ from_fd, to_fd, from, to };
  return g_thread_new ("pump", run_pump, p);
}

/* Serves a connection that a VM has opened to VM NUMBER. */
static void
relay (int fd, uint32_t number)
{
  int peer = cluster_links_peer (fd);
  char *ip = world_vm_ip (number);
  int to_fd = -1;
  GThread *there;
  GThread *back;

  if (peer >= 0)
    {
      cluster_links_await ((uint32_t) peer, number, -1);
      to_fd = world_connect (ip, WORLD_PEER_PORT, CONNECT_TIMEOUT_MS);
    }
  g_free (ip);
  if (to_fd >= 0)
    {
      there = start_pump (fd, to_fd, (uint32_t) peer, number);
      back = start_pump (to_fd, fd, number, (uint32_t) peer);
      g_thread_join (there);
      g_thread_join (back);
      close (to_fd);
    }
  close (fd);
}

bool
cluster_links_start (void)
{
  for (uint32_t i = 0; i < WORLD_VMS; i++)
    {
      char *ip = world_vm_relay_ip (i);
      int listener = world_listen (ip, WORLD_PEER_PORT);

      g_free (ip);
      if (listener < 0)
        return false;
      world_accept (listener, relay, i);
    }
  return true;
}
