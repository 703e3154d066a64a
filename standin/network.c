/* ss-standin-network: simulates the network between the VMs.
 *
 * Relays TCP connections and injects faults.
 *
 * POST /cut sets a network partition: it separates the addresses in "cut_ips"
 * from all others.  Connections across the partition stay open, but no data
 * passes until the partition heals.
 *
 * POST /link sets the faults of the address "ip".  "delay_ms" delays data in
 * both directions, in milliseconds.  "silent_in" and "silent_out" withhold the
 * data to the address and from it.  A request replaces all earlier faults of
 * the address.  "reset": true closes its open connections once.
 */
#include <ev.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/httpd.h"
#include "kernel/stream.h"

typedef struct Connection Connection;

typedef struct
{
  SsStream stream; /* must be first: callbacks cast it to Endpoint */
  Connection *connection;
  bool open;
  GByteArray *delayed; /* received data that waits for the delay; NULL: none */
  ev_timer delay;
} Endpoint;

/* The faults that POST /link has set for one address. */
typedef struct
{
  uint32_t delay_ms;
  bool silent_in;
  bool silent_out;
} LinkFaults;

struct Connection
{
  Endpoint client;
  Endpoint server;
  char client_ip[INET_ADDRSTRLEN];
  char server_ip[INET_ADDRSTRLEN];
  bool is_partitioned;
};

typedef struct
{
  ev_io io;
  char ip[INET_ADDRSTRLEN];
  uint16_t port;
} Relay;

static struct
{
  SsHttpd httpd;
  struct ev_loop *loop;
  GHashTable *partitioned_ips;
  GHashTable *faults; /* address -> LinkFaults */
  GHashTable *connections;
} net;

static void
endpoint_init (Endpoint *e, Connection *c)
{
  e->connection = c;
  e->delay.data = e;
}

static void
endpoint_finish (Endpoint *e)
{
  ev_timer_stop (net.loop, &e->delay);
  if (e->delayed)
    g_byte_array_unref (e->delayed);
  if (e->open)
    ss_stream_finish (&e->stream);
}

static void
close_connection (Connection *c)
{
  g_hash_table_remove (net.connections, c);
  endpoint_finish (&c->client);
  endpoint_finish (&c->server);
  g_free (c);
}

static Endpoint *
other_endpoint (Endpoint *e)
{
  return e == &e->connection->client ? &e->connection->server
                                     : &e->connection->client;
}

static const char *
endpoint_ip (const Endpoint *e)
{
  return e == &e->connection->client ? e->connection->client_ip
                                     : e->connection->server_ip;
}

/* Returns whether data from FROM is withheld. */
static bool
is_blocked (Endpoint *from)
{
  const LinkFaults *out = g_hash_table_lookup (net.faults, endpoint_ip (from));
  const LinkFaults *in
      = g_hash_table_lookup (net.faults, endpoint_ip (other_endpoint (from)));

  return from->connection->is_partitioned || (out && out->silent_out)
         || (in && in->silent_in);
}

/* Returns the longer of the delays of both addresses. */
static uint32_t
link_delay_ms (Endpoint *from)
{
  const LinkFaults *a
      = g_hash_table_lookup (net.faults, from->connection->client_ip);
  const LinkFaults *b
      = g_hash_table_lookup (net.faults, from->connection->server_ip);

  return MAX (a ? a->delay_ms : 0, b ? b->delay_ms : 0);
}

static void
deliver_delayed (struct ev_loop *loop, ev_timer *timer, int events)
{
  Endpoint *from = timer->data;
  Endpoint *to = other_endpoint (from);

  (void) loop;
  (void) events;
  if (!from->delayed || is_blocked (from))
    return;
  g_byte_array_append (ss_stream_output (&to->stream), from->delayed->data,
                       from->delayed->len);
  g_clear_pointer (&from->delayed, g_byte_array_unref);
  ss_stream_flush (&to->stream);
}

/* Delivers the data received from FROM, after its delay.  Data that arrives
 * during a delay joins the data already delayed, in order.
 */
static void
forward (Endpoint *from)
{
  GByteArray *input = from->stream.input;
  uint32_t delay_ms = link_delay_ms (from);

  if (is_blocked (from))
    return;
  if (input && input->len)
    {
      if (!from->delayed)
        from->delayed = g_byte_array_new ();
      g_byte_array_append (from->delayed, input->data, input->len);
      ss_stream_consume (&from->stream, UINT32_MAX);
    }
  if (!from->delayed || ev_is_active (&from->delay))
    return;
  if (!delay_ms)
    {
      deliver_delayed (net.loop, &from->delay, 0);
      return;
    }
  ev_timer_set (&from->delay, delay_ms / 1000.0, 0);
  ev_timer_start (net.loop, &from->delay);
}

static void
on_input (SsStream *stream)
{
  forward ((Endpoint *) stream);
}

static void
on_closed (SsStream *stream)
{
  close_connection (((Endpoint *) stream)->connection);
}

static bool
crosses_partition (const char *a, const char *b)
{
  return g_hash_table_contains (net.partitioned_ips, a)
         != g_hash_table_contains (net.partitioned_ips, b);
}

/* Applies the current partition and link faults to C. */
static void
apply_faults (Connection *c)
{
  c->is_partitioned = crosses_partition (c->client_ip, c->server_ip);
  ss_stream_pause_reading (&c->client.stream, is_blocked (&c->client));
  ss_stream_pause_reading (&c->server.stream, is_blocked (&c->server));
  forward (&c->client);
  forward (&c->server);
}

static void
on_accept (struct ev_loop *loop, ev_io *w, int events)
{
  static const SsStreamClass klass = { on_input, on_closed, NULL, NULL };
  Relay *relay = w->data;
  Connection *c;
  char client_ip[INET_ADDRSTRLEN];
  int fd = ss_stream_accept (w->fd, client_ip);
  int server_fd;

  (void) events;
  if (fd < 0)
    return;
  c = g_new0 (Connection, 1);
  g_strlcpy (c->client_ip, client_ip, sizeof c->client_ip);
  g_strlcpy (c->server_ip, relay->ip, sizeof c->server_ip);
  endpoint_init (&c->client, c);
  endpoint_init (&c->server, c);
  ev_init (&c->client.delay, deliver_delayed);
  ev_init (&c->server.delay, deliver_delayed);
  ss_stream_init (&c->client.stream, &klass, loop, fd, false);
  c->client.open = true;
  g_hash_table_add (net.connections, c);
  server_fd = ss_stream_connect (NULL, relay->ip, relay->port);
  if (server_fd < 0)
    {
      close_connection (c);
      return;
    }
  ss_stream_init (&c->server.stream, &klass, loop, server_fd, true);
  c->server.open = true;
  apply_faults (c);
}

static void
set_partitioned_ips (json_t *body)
{
  json_t *ip;
  size_t i;

  g_hash_table_remove_all (net.partitioned_ips);
  json_array_foreach (json_object_get (body, "cut_ips"), i, ip)
  {
    g_hash_table_add (net.partitioned_ips, g_strdup (json_string_value (ip)));
  }
}

static void
reset_connections (const char *ip)
{
  GList *connections = g_hash_table_get_keys (net.connections);

  for (GList *l = connections; l; l = l->next)
    {
      Connection *c = l->data;

      if (strcmp (c->client_ip, ip) == 0 || strcmp (c->server_ip, ip) == 0)
        close_connection (c);
    }
  g_list_free (connections);
}

static void
set_link_faults (json_t *body)
{
  const char *ip = json_string_value (json_object_get (body, "ip"));
  LinkFaults *f;

  if (!ip)
    return;
  f = g_new0 (LinkFaults, 1);
  f->delay_ms
      = (uint32_t) json_integer_value (json_object_get (body, "delay_ms"));
  f->silent_in = json_is_true (json_object_get (body, "silent_in"));
  f->silent_out = json_is_true (json_object_get (body, "silent_out"));
  g_hash_table_replace (net.faults, g_strdup (ip), f);
  if (json_is_true (json_object_get (body, "reset")))
    reset_connections (ip);
}

static void
handle (SsHttpd *httpd, SsHttpRequest *r)
{
  json_t *body
      = json_loadb ((const char *) r->body->data, r->body->len, 0, NULL);
  GHashTableIter iter;
  gpointer connection;

  (void) httpd;
  if (strcmp (r->path, "/link") == 0)
    set_link_faults (body);
  else
    set_partitioned_ips (body);
  json_decref (body);
  g_hash_table_iter_init (&iter, net.connections);
  while (g_hash_table_iter_next (&iter, &connection, NULL))
    apply_faults (connection);
  ss_http_reply (r, 200, "application/json", "{}");
}

/* Parses "LISTEN-IP:PORT=IP:PORT" and starts to listen.  Returns false if TEXT
 * is malformed or the address cannot be bound.
 */
static bool
add_relay (const char *text)
{
  char **parts = g_strsplit_set (text, ":=", 4);
  Relay *relay = g_new0 (Relay, 1);
  int fd = -1;

  if (g_strv_length (parts) == 4)
    {
      fd = ss_stream_listen (parts[0], (uint16_t) atoi (parts[1]));
      g_strlcpy (relay->ip, parts[2], sizeof relay->ip);
      relay->port = (uint16_t) atoi (parts[3]);
    }
  g_strfreev (parts);
  if (fd < 0)
    {
      g_free (relay);
      return false;
    }
  ev_io_init (&relay->io, on_accept, fd, EV_READ);
  relay->io.data = relay;
  ev_io_start (net.loop, &relay->io);
  return true;
}

int
main (int argc, char **argv)
{
  static const SsHttpdClass klass = { handle, NULL };

  if (argc < 4)
    {
      fprintf (stderr, "usage: ss-standin-network CONTROL-IP PORT "
                       "LISTEN:PORT=IP:PORT...\n");
      return 2;
    }
  net.loop = ev_default_loop (0);
  net.partitioned_ips
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  net.faults = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  net.connections = g_hash_table_new (NULL, NULL);
  if (!ss_httpd_init (&net.httpd, &klass, net.loop, argv[1],
                      (uint16_t) atoi (argv[2])))
    {
      fprintf (stderr, "ss-standin-network: can't listen\n");
      return 1;
    }
  for (int i = 3; i < argc; i++)
    if (!add_relay (argv[i]))
      {
        fprintf (stderr, "ss-standin-network: invalid relay %s\n", argv[i]);
        return 1;
      }
  ev_run (net.loop, 0);
  return 0;
}
