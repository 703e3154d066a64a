/* ss-standin-network: the network between the vms.
 *
 * It relays TCP connections; POST /cut names the addresses that are cut off
 * from all others.  A cut connection stays open and silent, as in a network
 * partition.
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
} End;

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
  GHashTable *pairs;
} net;

static void
drop_pair (Pair *p)
{
  g_hash_table_remove (net.pairs, p);
  ss_stream_finish (&p->near.stream);
  if (p->far.open)
    ss_stream_finish (&p->far.stream);
  g_free (p);
}

static void
forward (End *from, End *to)
{
  GByteArray *input = from->stream.input;

  if (!input || from->pair->is_cut)
    return;
  g_byte_array_append (ss_stream_output (&to->stream), input->data, input->len);
  ss_stream_consume (&from->stream, UINT32_MAX);
  ss_stream_flush (&to->stream);
}

static void
on_input (SsStream *stream)
{
  End *e = (End *) stream;

  forward (e, e == &e->pair->near ? &e->pair->far : &e->pair->near);
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

static void
set_cut (Pair *p)
{
  bool was_cut = p->is_cut;

  p->is_cut = crosses_cut (p->from, p->to);
  ss_stream_pause_reading (&p->near.stream, p->is_cut);
  ss_stream_pause_reading (&p->far.stream, p->is_cut);
  if (was_cut && !p->is_cut)
    {
      forward (&p->near, &p->far);
      forward (&p->far, &p->near);
    }
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
  p->near.pair = p;
  p->far.pair = p;
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
  set_cut (p);
}

static void
handle (SsHttpd *httpd, SsHttpRequest *r)
{
  json_t *body
      = json_loadb ((const char *) r->body->data, r->body->len, 0, NULL);
  json_t *ip;
  size_t i;
  GHashTableIter iter;
  gpointer pair;

  (void) httpd;
  g_hash_table_remove_all (net.cut);
  json_array_foreach (json_object_get (body, "cut_ips"), i, ip)
  {
    g_hash_table_add (net.cut, g_strdup (json_string_value (ip)));
  }
  json_decref (body);
  g_hash_table_iter_init (&iter, net.pairs);
  while (g_hash_table_iter_next (&iter, &pair, NULL))
    set_cut (pair);
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
