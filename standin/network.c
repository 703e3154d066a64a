/* ss-standin-network: the network between the vms.
 *
 * It relays TCP connections.  POST /cut names the addresses ("cut_ips") that
 * are cut off from all others.  A cut connection stays open and silent, as in
 * a network partition.  POST /link sets the faults of one address ("ip"):
 * "delay_ms", "silent_in" and "silent_out", which hold what comes to it or from
 * it; "reset": true closes its connections once.
 */
#include <ev.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/httpd.h"
#include "kernel/stream.h"

typedef struct Pair Pair;

typedef struct
{
  SsStream stream; /* first: callbacks cast back */
  Pair *pair;
  bool open;
  GByteArray *held; /* what it sent and waits for its delay; NULL: nothing */
  ev_timer delay;
} End;

/* The faults of one address. */
typedef struct
{
  uint32_t delay_ms;
  bool silent_in;
  bool silent_out;
} Fault;

struct Pair
{
  End near;
  End far;
  char from[INET_ADDRSTRLEN];
  char to[INET_ADDRSTRLEN];
  bool is_cut;
};

typedef struct
{
  ev_io io;
  char ip[INET_ADDRSTRLEN];
  uint16_t port;
} Relay;

static struct
{
  SsHttpd httpd; /* first: handlers cast back */
  struct ev_loop *loop;
  GHashTable *cut;
  GHashTable *faults; /* address -> Fault */
  GHashTable *pairs;
} net;

static void
end_init (End *e, Pair *p)
{
  e->pair = p;
  e->delay.data = e;
}

static void
end_finish (End *e)
{
  ev_timer_stop (net.loop, &e->delay);
  if (e->held)
    g_byte_array_unref (e->held);
  if (e->open)
    ss_stream_finish (&e->stream);
}

static void
drop_pair (Pair *p)
{
  g_hash_table_remove (net.pairs, p);
  end_finish (&p->near);
  end_finish (&p->far);
  g_free (p);
}

static End *
other_end (End *e)
{
  return e == &e->pair->near ? &e->pair->far : &e->pair->near;
}

static const char *
address_of (const End *e)
{
  return e == &e->pair->near ? e->pair->from : e->pair->to;
}

static bool
is_blocked (End *from)
{
  const Fault *out = g_hash_table_lookup (net.faults, address_of (from));
  const Fault *in
      = g_hash_table_lookup (net.faults, address_of (other_end (from)));

  return from->pair->is_cut || (out && out->silent_out)
         || (in && in->silent_in);
}

static uint32_t
delay_of (End *from)
{
  const Fault *a = g_hash_table_lookup (net.faults, from->pair->from);
  const Fault *b = g_hash_table_lookup (net.faults, from->pair->to);

  return MAX (a ? a->delay_ms : 0, b ? b->delay_ms : 0);
}

static void
deliver_held (struct ev_loop *loop, ev_timer *timer, int events)
{
  End *from = timer->data;
  End *to = other_end (from);

  (void) loop;
  (void) events;
  if (!from->held || is_blocked (from))
    return;
  g_byte_array_append (ss_stream_output (&to->stream), from->held->data,
                       from->held->len);
  g_clear_pointer (&from->held, g_byte_array_unref);
  ss_stream_flush (&to->stream);
}

/* What arrives during a delay goes with what waits already, in order. */
static void
forward (End *from)
{
  GByteArray *input = from->stream.input;
  uint32_t delay_ms = delay_of (from);

  if (is_blocked (from))
    return;
  if (input && input->len)
    {
      if (!from->held)
        from->held = g_byte_array_new ();
      g_byte_array_append (from->held, input->data, input->len);
      ss_stream_consume (&from->stream, UINT32_MAX);
    }
  if (!from->held || ev_is_active (&from->delay))
    return;
  if (!delay_ms)
    {
      deliver_held (net.loop, &from->delay, 0);
      return;
    }
  ev_timer_set (&from->delay, delay_ms / 1000.0, 0);
  ev_timer_start (net.loop, &from->delay);
}

static void
on_input (SsStream *stream)
{
  forward ((End *) stream);
}

static void
on_closed (SsStream *stream)
{
  drop_pair (((End *) stream)->pair);
}

static bool
crosses_cut (const char *a, const char *b)
{
  return g_hash_table_contains (net.cut, a)
         != g_hash_table_contains (net.cut, b);
}

/* Applies what is in force now to P. */
static void
refresh (Pair *p)
{
  p->is_cut = crosses_cut (p->from, p->to);
  ss_stream_pause_reading (&p->near.stream, is_blocked (&p->near));
  ss_stream_pause_reading (&p->far.stream, is_blocked (&p->far));
  forward (&p->near);
  forward (&p->far);
}

static void
on_accept (struct ev_loop *loop, ev_io *w, int events)
{
  static const SsStreamClass klass = { on_input, on_closed, NULL };
  Relay *relay = w->data;
  Pair *p;
  char from[INET_ADDRSTRLEN];
  int fd = ss_stream_accept (w->fd, from);
  int far;

  (void) events;
  if (fd < 0)
    return;
  p = g_new0 (Pair, 1);
  g_strlcpy (p->from, from, sizeof p->from);
  g_strlcpy (p->to, relay->ip, sizeof p->to);
  end_init (&p->near, p);
  end_init (&p->far, p);
  ev_init (&p->near.delay, deliver_held);
  ev_init (&p->far.delay, deliver_held);
  ss_stream_init (&p->near.stream, &klass, loop, fd, false);
  p->near.open = true;
  g_hash_table_add (net.pairs, p);
  far = ss_stream_connect (NULL, relay->ip, relay->port);
  if (far < 0)
    {
      drop_pair (p);
      return;
    }
  ss_stream_init (&p->far.stream, &klass, loop, far, true);
  p->far.open = true;
  refresh (p);
}

static void
set_cut (json_t *body)
{
  json_t *ip;
  size_t i;

  g_hash_table_remove_all (net.cut);
  json_array_foreach (json_object_get (body, "cut_ips"), i, ip)
  {
    g_hash_table_add (net.cut, g_strdup (json_string_value (ip)));
  }
}

static void
reset_pairs (const char *ip)
{
  GList *pairs = g_hash_table_get_keys (net.pairs);

  for (GList *l = pairs; l; l = l->next)
    {
      Pair *p = l->data;

      if (strcmp (p->from, ip) == 0 || strcmp (p->to, ip) == 0)
        drop_pair (p);
    }
  g_list_free (pairs);
}

static void
set_link (json_t *body)
{
  const char *ip = json_string_value (json_object_get (body, "ip"));
  Fault *f;

  if (!ip)
    return;
  f = g_new0 (Fault, 1);
  f->delay_ms
      = (uint32_t) json_integer_value (json_object_get (body, "delay_ms"));
  f->silent_in = json_is_true (json_object_get (body, "silent_in"));
  f->silent_out = json_is_true (json_object_get (body, "silent_out"));
  g_hash_table_replace (net.faults, g_strdup (ip), f);
  if (json_is_true (json_object_get (body, "reset")))
    reset_pairs (ip);
}

static void
handle (SsHttpd *httpd, SsHttpRequest *r)
{
  json_t *body
      = json_loadb ((const char *) r->body->data, r->body->len, 0, NULL);
  GHashTableIter iter;
  gpointer pair;

  (void) httpd;
  if (strcmp (r->path, "/link") == 0)
    set_link (body);
  else
    set_cut (body);
  json_decref (body);
  g_hash_table_iter_init (&iter, net.pairs);
  while (g_hash_table_iter_next (&iter, &pair, NULL))
    refresh (pair);
  ss_http_reply (r, 200, "application/json", "{}");
}

/* "LISTEN-IP:PORT=IP:PORT" */
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
  net.cut = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  net.faults = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  net.pairs = g_hash_table_new (NULL, NULL);
  if (!ss_httpd_init (&net.httpd, &klass, net.loop, argv[1],
                      (uint16_t) atoi (argv[2])))
    {
      fprintf (stderr, "ss-standin-network: can't listen\n");
      return 1;
    }
  for (int i = 3; i < argc; i++)
    if (!add_relay (argv[i]))
      {
        fprintf (stderr, "ss-standin-network: bad relay %s\n", argv[i]);
        return 1;
      }
  ev_run (net.loop, 0);
  return 0;
}
