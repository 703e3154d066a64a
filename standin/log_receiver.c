#include "standin/log_receiver.h"

#include <string.h>

#define RETRY_MS 50
#define RESPONSE_TIMEOUT_MS 600
/* The primary responds after this time if it has no new entries. */
#define LOG_WAIT_MS 100
#define LOG_BATCH 500

static void
disconnect (SsLogReceiver *receiver)
{
  if (!receiver->pq)
    return;
  ev_io_stop (receiver->loop, &receiver->io);
  PQfinish (receiver->pq);
  receiver->pq = NULL;
  receiver->due_ms = ss_server_now_ms (receiver->server) + RETRY_MS;
}

static void
send_request (SsLogReceiver *receiver)
{
  const SsServer *s = receiver->server;
  char sql[256];

  g_snprintf (sql, sizeof sql,
              "SELECT * FROM sapphirestair_log(%" G_GUINT64_FORMAT
              ", %" G_GUINT64_FORMAT ", %" G_GUINT64_FORMAT ", %d, %d)",
              s->follow_term, s->fetch_after,
              ss_store_term_at (&s->store, s->fetch_after), LOG_BATCH,
              LOG_WAIT_MS);
  if (PQsendQuery (receiver->pq, sql))
    PQflush (receiver->pq);
  else
    disconnect (receiver);
}

/* The first row holds the outcome: "ok", "mismatch" or "refused".  The other
 * rows hold log entries.
 */
static void
handle_result (SsLogReceiver *receiver, const PGresult *r)
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
  ss_server_handle_log (receiver->server, PQgetvalue (r, 0, 0), terms, payloads,
                        (uint32_t) rows - 1);
  g_free (terms);
  g_free (payloads);
}

static void
continue_connecting (SsLogReceiver *receiver)
{
  PostgresPollingStatusType poll = PQconnectPoll (receiver->pq);

  if (poll == PGRES_POLLING_FAILED)
    {
      disconnect (receiver);
      return;
    }
  ev_io_stop (receiver->loop, &receiver->io);
  ev_io_set (&receiver->io, PQsocket (receiver->pq),
             poll == PGRES_POLLING_WRITING ? EV_WRITE : EV_READ);
  ev_io_start (receiver->loop, &receiver->io);
  if (poll == PGRES_POLLING_OK)
    send_request (receiver);
}

/* Returns false if the server has since received a later term, follows another
 * primary or is partitioned.  Data on the connection is then discarded.
 */
static bool
is_current (const SsLogReceiver *receiver)
{
  return receiver->generation == receiver->server->replication_generation
         && ss_server_is_following (receiver->server);
}

static void
on_io (struct ev_loop *loop, ev_io *w, int events)
{
  SsLogReceiver *receiver = w->data;

  (void) loop;
  (void) events;
  if (!is_current (receiver))
    {
      disconnect (receiver);
      return;
    }
  if (PQstatus (receiver->pq) != CONNECTION_OK)
    {
      continue_connecting (receiver);
      return;
    }
  if (!PQconsumeInput (receiver->pq))
    {
      disconnect (receiver);
      return;
    }
  while (!PQisBusy (receiver->pq))
    {
      PGresult *r = PQgetResult (receiver->pq);

      if (!r)
        {
          send_request (receiver);
          return;
        }
      handle_result (receiver, r);
      PQclear (r);
    }
}

static void
connect_to_primary (SsLogReceiver *receiver)
{
  char **address = g_strsplit (receiver->server->upstream, " ", 2);
  char *conninfo = g_strdup_printf (
      "hostaddr=%s port=%s user=replication dbname=log sslmode=disable "
      "gssencmode=disable",
      address[0], address[1]);

  receiver->pq = PQconnectStart (conninfo);
  receiver->generation = receiver->server->replication_generation;
  receiver->due_ms = ss_server_now_ms (receiver->server) + RESPONSE_TIMEOUT_MS;
  if (PQstatus (receiver->pq) == CONNECTION_BAD)
    {
      PQfinish (receiver->pq);
      receiver->pq = NULL;
    }
  else
    {
      PQsetnonblocking (receiver->pq, 1);
      ev_io_init (&receiver->io, on_io, PQsocket (receiver->pq), EV_WRITE);
      receiver->io.data = receiver;
      ev_io_start (receiver->loop, &receiver->io);
    }
  g_free (conninfo);
  g_strfreev (address);
}

void
ss_log_receiver_init (SsLogReceiver *receiver, struct ev_loop *loop,
                      SsServer *server)
{
  memset (receiver, 0, sizeof *receiver);
  receiver->loop = loop;
  receiver->server = server;
}

void
ss_log_receiver_tick (SsLogReceiver *receiver)
{
  int64_t now_ms = ss_server_now_ms (receiver->server);

  if (receiver->pq && !is_current (receiver))
    {
      disconnect (receiver);
      receiver->due_ms = now_ms;
    }
  if (receiver->pq && now_ms > receiver->due_ms
      && now_ms - receiver->server->last_response_ms > RESPONSE_TIMEOUT_MS)
    disconnect (receiver);
  if (!receiver->pq && ss_server_is_following (receiver->server)
      && now_ms >= receiver->due_ms)
    connect_to_primary (receiver);
}
