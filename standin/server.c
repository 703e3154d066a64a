#include "standin/server.h"

#include <stdlib.h>
#include <string.h>

#define LINK_RETRY_MS 50
#define LINK_SILENCE_MS 600
#define LOG_WAIT_MS 100
#define LOG_BATCH 500

int64_t
ss_server_now_ms (const SsServer *server)
{
  (void) server;
  return g_get_monotonic_time () / 1000;
}

static void
remember_term (SsServer *s)
{
  if (!s->term_file)
    return;
  fprintf (s->term_file, "%" G_GUINT64_FORMAT "\n", s->shown_term);
  fflush (s->term_file);
}

static void
load_terms (SsServer *s, const char *data_path)
{
  char *path = g_strconcat (data_path, ".term", NULL);
  char *text = NULL;

  if (g_file_get_contents (path, &text, NULL, NULL))
    {
      char **lines = g_strsplit (text, "\n", -1);

      for (uint32_t i = 0; lines[i]; i++)
        s->shown_term
            = MAX (s->shown_term, g_ascii_strtoull (lines[i], NULL, 10));
      g_strfreev (lines);
      g_free (text);
    }
  s->term_file = fopen (path, "a");
  g_free (path);
}

void
ss_server_init (SsServer *server, struct ev_loop *loop, const char *name,
                const char *data_path)
{
  memset (server, 0, sizeof *server);
  server->loop = loop;
  server->name = name;
  server->role = SS_ROLE_REPLICA;
  server->max_connections = 20;
  server->connect_ms = 10;
  server->heard_ms = ss_server_now_ms (server);
  ss_store_init (&server->store, data_path);
  if (data_path)
    load_terms (server, data_path);
}

static void
close_link (SsServer *s)
{
  if (!s->link)
    return;
  ev_io_stop (s->loop, &s->link_io);
  PQfinish (s->link);
  s->link = NULL;
  s->link_asked = false;
  s->link_due_ms = ss_server_now_ms (s) + LINK_RETRY_MS;
}

bool
ss_server_raise (SsServer *server, uint64_t term)
{
  if (term < server->shown_term)
    return false;
  if (term == server->shown_term)
    return true;
  server->shown_term = term;
  remember_term (server);
  if (server->role == SS_ROLE_PRIMARY)
    server->role = SS_ROLE_FENCED;
  close_link (server);
  return true;
}

bool
ss_server_promote (SsServer *server, uint64_t term)
{
  if (!ss_server_raise (server, term))
    return false;
  if (server->role == SS_ROLE_PRIMARY)
    return true;
  /* A server that follows another primary of this term is not promoted. */
  if (server->follow_term == term)
    return false;
  server->role = SS_ROLE_PRIMARY;
  g_clear_pointer (&server->upstream, g_free);
  ss_store_append (&server->store, term, "", ss_server_now_ms (server));
  ss_store_apply_to (&server->store, ss_store_held (&server->store));
  return true;
}

bool
ss_server_follow (SsServer *server, uint64_t term, const char *ip,
                  const char *port)
{
  if (!ss_server_raise (server, term))
    return false;
  if (server->role == SS_ROLE_PRIMARY)
    return false;
  g_free (server->upstream);
  server->upstream = g_strdup_printf ("%s %s", ip, port);
  server->follow_term = term;
  server->role = SS_ROLE_REPLICA;
  server->first_wanted = ss_store_held (&server->store);
  close_link (server);
  server->link_due_ms = 0;
  return true;
}

const char *
ss_server_role_name (const SsServer *server)
{
  static const char *const names[] = { "replica", "primary", "fenced" };

  return names[server->role];
}

static void
send_log_request (SsServer *s)
{
  char sql[256];

  g_snprintf (sql, sizeof sql,
              "SELECT * FROM sapphirestair_log(%" G_GUINT64_FORMAT
              ", %" G_GUINT64_FORMAT ", %" G_GUINT64_FORMAT ", %d, %d)",
              s->follow_term, s->first_wanted,
              ss_store_term_at (&s->store, s->first_wanted), LOG_BATCH,
              LOG_WAIT_MS);
  s->link_asked = PQsendQuery (s->link, sql) == 1;
  PQflush (s->link);
  if (!s->link_asked)
    close_link (s);
}

/* The first row says what the primary found; log entries follow. */
static void
take_log (SsServer *s, PGresult *r)
{
  const char *found;

  if (PQresultStatus (r) != PGRES_TUPLES_OK || PQntuples (r) < 1)
    return;
  s->heard_ms = ss_server_now_ms (s);
  found = PQgetvalue (r, 0, 0);
  if (strcmp (found, "mismatch") == 0)
    {
      if (s->first_wanted > 0)
        s->first_wanted--;
      return;
    }
  if (strcmp (found, "ok") != 0)
    return;
  ss_store_truncate (&s->store, s->first_wanted);
  for (int32_t i = 1; i < PQntuples (r); i++)
    {
      uint64_t term = strtoull (PQgetvalue (r, i, 0), NULL, 10);

      ss_store_append (&s->store, term, PQgetvalue (r, i, 1), s->heard_ms);
    }
  s->first_wanted = ss_store_held (&s->store);
}

static void
on_link (struct ev_loop *loop, ev_io *w, int events)
{
  SsServer *s = w->data;
  PGresult *r;

  (void) loop;
  (void) events;
  if (PQstatus (s->link) != CONNECTION_OK)
    {
      PostgresPollingStatusType poll = PQconnectPoll (s->link);

      if (poll == PGRES_POLLING_FAILED)
        {
          close_link (s);
          return;
        }
      ev_io_stop (s->loop, w);
      ev_io_set (w, PQsocket (s->link),
                 poll == PGRES_POLLING_WRITING ? EV_WRITE : EV_READ);
      ev_io_start (s->loop, w);
      if (poll == PGRES_POLLING_OK && !s->cut)
        send_log_request (s);
      return;
    }
  if (!PQconsumeInput (s->link))
    {
      close_link (s);
      return;
    }
  if (s->cut)
    return;
  while (!PQisBusy (s->link))
    {
      r = PQgetResult (s->link);
      if (!r)
        {
          send_log_request (s);
          return;
        }
      take_log (s, r);
      PQclear (r);
    }
}

static void
open_link (SsServer *s, int64_t now_ms)
{
  char **address = g_strsplit (s->upstream, " ", 2);
  char *conninfo = g_strdup_printf (
      "hostaddr=%s port=%s user=replication dbname=log sslmode=disable "
      "gssencmode=disable",
      address[0], address[1]);

  s->link = PQconnectStart (conninfo);
  s->link_due_ms = now_ms + LINK_SILENCE_MS;
  if (PQstatus (s->link) == CONNECTION_BAD)
    close_link (s);
  else
    {
      PQsetnonblocking (s->link, 1);
      ev_io_init (&s->link_io, on_link, PQsocket (s->link), EV_WRITE);
      s->link_io.data = s;
      ev_io_start (s->loop, &s->link_io);
    }
  g_free (conninfo);
  g_strfreev (address);
}

static void
apply_due (SsServer *s, int64_t now_ms)
{
  while (s->store.applied < ss_store_held (&s->store))
    {
      const SsLogEntry *e = ss_store_entry (&s->store, s->store.applied + 1);

      if (s->role == SS_ROLE_REPLICA
          && now_ms < e->received_ms + s->apply_lag_ms)
        return;
      ss_store_apply_to (&s->store, s->store.applied + 1);
    }
}

void
ss_server_tick (SsServer *server)
{
  int64_t now_ms = ss_server_now_ms (server);

  apply_due (server, now_ms);
  if (server->role != SS_ROLE_REPLICA || !server->upstream)
    return;
  if (server->link && now_ms - server->heard_ms > LINK_SILENCE_MS
      && now_ms > server->link_due_ms)
    close_link (server);
  if (server->shown_term > server->follow_term)
    return;
  if (!server->link && now_ms >= server->link_due_ms)
    open_link (server, now_ms);
}
