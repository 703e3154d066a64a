#include "standin/link.h"

#include <string.h>

#define RETRY_MS 50
#define SILENCE_MS 600
#define LOG_WAIT_MS 100
#define LOG_BATCH 500

static void
close_link (SsLink *l)
{
  if (!l->pq)
    return;
  ev_io_stop (l->loop, &l->io);
  PQfinish (l->pq);
  l->pq = NULL;
  l->due_ms = ss_server_now_ms (l->server) + RETRY_MS;
}

static void
send_request (SsLink *l)
{
  const SsServer *s = l->server;
  char sql[256];

  g_snprintf (sql, sizeof sql,
              "SELECT * FROM sapphirestair_log(%" G_GUINT64_FORMAT
              ", %" G_GUINT64_FORMAT ", %" G_GUINT64_FORMAT ", %d, %d)",
              s->follow_term, s->first_wanted,
              ss_store_term_at (&s->store, s->first_wanted), LOG_BATCH,
              LOG_WAIT_MS);
  if (PQsendQuery (l->pq, sql))
    PQflush (l->pq);
  else
    close_link (l);
}

/* The first row says what the primary found; log entries follow. */
static void
take_result (SsLink *l, const PGresult *r)
{
  int rows = PQntuples (r);
  uint64_t *terms;
  const char **payloads;

  if (PQresultStatus (r) != PGRES_TUPLES_OK || rows < 1)
    return;
  terms = g_new (uint64_t, rows);
  payloads = g_new (const char *, rows);
  for (int i = 1; i < rows; i++)
    {
      terms[i - 1] = g_ascii_strtoull (PQgetvalue (r, i, 0), NULL, 10);
      payloads[i - 1] = PQgetvalue (r, i, 1);
    }
  ss_server_take_log (l->server, PQgetvalue (r, 0, 0), terms, payloads,
                      (uint32_t) rows - 1);
  g_free (terms);
  g_free (payloads);
}

static void
poll_start (SsLink *l)
{
  PostgresPollingStatusType poll = PQconnectPoll (l->pq);

  if (poll == PGRES_POLLING_FAILED)
    {
      close_link (l);
      return;
    }
  ev_io_stop (l->loop, &l->io);
  ev_io_set (&l->io, PQsocket (l->pq),
             poll == PGRES_POLLING_WRITING ? EV_WRITE : EV_READ);
  ev_io_start (l->loop, &l->io);
  if (poll == PGRES_POLLING_OK)
    send_request (l);
}

/* What arrives on a link that is out of date is not taken. */
static bool
is_current (const SsLink *l)
{
  return l->generation == l->server->link_generation
         && ss_server_wants_log (l->server);
}

static void
on_io (struct ev_loop *loop, ev_io *w, int events)
{
  SsLink *l = w->data;

  (void) loop;
  (void) events;
  if (!is_current (l))
    {
      close_link (l);
      return;
    }
  if (PQstatus (l->pq) != CONNECTION_OK)
    {
      poll_start (l);
      return;
    }
  if (!PQconsumeInput (l->pq))
    {
      close_link (l);
      return;
    }
  while (!PQisBusy (l->pq))
    {
      PGresult *r = PQgetResult (l->pq);

      if (!r)
        {
          send_request (l);
          return;
        }
      take_result (l, r);
      PQclear (r);
    }
}

static void
open_link (SsLink *l)
{
  char **address = g_strsplit (l->server->upstream, " ", 2);
  char *conninfo = g_strdup_printf (
      "hostaddr=%s port=%s user=replication dbname=log sslmode=disable "
      "gssencmode=disable",
      address[0], address[1]);

  l->pq = PQconnectStart (conninfo);
  l->generation = l->server->link_generation;
  l->due_ms = ss_server_now_ms (l->server) + SILENCE_MS;
  if (PQstatus (l->pq) == CONNECTION_BAD)
    {
      PQfinish (l->pq);
      l->pq = NULL;
    }
  else
    {
      PQsetnonblocking (l->pq, 1);
      ev_io_init (&l->io, on_io, PQsocket (l->pq), EV_WRITE);
      l->io.data = l;
      ev_io_start (l->loop, &l->io);
    }
  g_free (conninfo);
  g_strfreev (address);
}

void
ss_link_init (SsLink *link, struct ev_loop *loop, SsServer *server)
{
  memset (link, 0, sizeof *link);
  link->loop = loop;
  link->server = server;
}

void
ss_link_tick (SsLink *link)
{
  int64_t now_ms = ss_server_now_ms (link->server);

  if (link->pq && !is_current (link))
    {
      close_link (link);
      link->due_ms = now_ms;
    }
  if (link->pq && now_ms > link->due_ms
      && now_ms - link->server->heard_ms > SILENCE_MS)
    close_link (link);
  if (!link->pq && ss_server_wants_log (link->server) && now_ms >= link->due_ms)
    open_link (link);
}
