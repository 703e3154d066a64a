#include "standin/server.h"

#include <stdlib.h>
#include <string.h>

int64_t
ss_server_now_ms (const SsServer *server)
{
  return ss_clock_now_ms (server->clock);
}

static void
append_term (SsServer *s)
{
  if (!s->term_file)
    return;
  fprintf (s->term_file, "%" G_GUINT64_FORMAT "\n", s->shown_term);
  fflush (s->term_file);
}

static void
load_term (SsServer *s, const char *data_path)
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
ss_server_init (SsServer *server, const SsClock *clock, const char *data_path)
{
  memset (server, 0, sizeof *server);
  server->clock = clock;
  server->sessions = g_ptr_array_new ();
  server->role = SS_ROLE_REPLICA;
  server->max_connections = 20;
  server->connect_ms = 10;
  server->last_response_ms = ss_server_now_ms (server);
  ss_store_init (&server->store, data_path);
  if (data_path)
    load_term (server, data_path);
}

bool
ss_server_set_defect (SsServer *server, const char *name)
{
  static const char *const names[] = {
#define X(id, text) text,
    SS_DEFECTS (X)
#undef X
  };

  for (uint32_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      if (strcmp (names[i], name) != 0)
        continue;
      server->defect = (SsDefect) i;
      return true;
    }
  return false;
}

bool
ss_server_defect_occurs (SsServer *server, SsDefect defect, uint32_t period)
{
  return server->defect == defect && ++server->defect_calls % period == 0;
}

bool
ss_server_raise_term (SsServer *server, uint64_t term)
{
  if (term < server->shown_term)
    return false;
  if (term == server->shown_term)
    return true;
  server->shown_term = term;
  append_term (server);
  if (server->role == SS_ROLE_PRIMARY && server->defect != SS_DEFECT_TERM)
    server->role = SS_ROLE_FENCED;
  server->replication_generation++;
  return true;
}

bool
ss_server_promote (SsServer *server, uint64_t term)
{
  if (!ss_server_raise_term (server, term))
    return false;
  if (server->role == SS_ROLE_PRIMARY)
    return true;
  /* The server follows another primary of this term. */
  if (server->follow_term == term)
    return false;
  server->role = SS_ROLE_PRIMARY;
  g_clear_pointer (&server->upstream, g_free);
  ss_store_append (&server->store, term, "", ss_server_now_ms (server));
  ss_store_apply_to (&server->store, ss_store_last_position (&server->store));
  return true;
}

bool
ss_server_follow (SsServer *server, uint64_t term, const char *ip,
                  const char *port)
{
  if (!ss_server_raise_term (server, term))
    return false;
  if (server->role == SS_ROLE_PRIMARY)
    return false;
  g_free (server->upstream);
  server->upstream = g_strdup_printf ("%s %s", ip, port);
  server->follow_term = term;
  server->role = SS_ROLE_REPLICA;
  server->fetch_after = ss_store_last_position (&server->store);
  server->replication_generation++;
  return true;
}

const char *
ss_server_role_name (const SsServer *server)
{
  static const char *const names[] = { "replica", "primary", "fenced" };

  return names[server->role];
}

static void
apply_due (SsServer *s, int64_t now_ms)
{
  while (s->store.applied < ss_store_last_position (&s->store))
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
  apply_due (server, ss_server_now_ms (server));
}

void
ss_server_handle_log (SsServer *server, const char *outcome,
                      const uint64_t *terms, const char *const *payloads,
                      uint32_t count)
{
  /* The server that responded is not the primary of the followed term, so
   * last_response_ms does not change.
   */
  if (strcmp (outcome, "refused") == 0)
    return;
  server->last_response_ms = ss_server_now_ms (server);
  if (strcmp (outcome, "mismatch") == 0)
    {
      if (server->fetch_after > 0)
        server->fetch_after--;
      return;
    }
  ss_store_truncate (&server->store, server->fetch_after);
  for (uint32_t i = 0; i < count; i++)
    ss_store_append (&server->store, terms[i], payloads[i],
                     server->last_response_ms);
  server->fetch_after = ss_store_last_position (&server->store);
}

bool
ss_server_is_following (const SsServer *server)
{
  return server->role == SS_ROLE_REPLICA && server->upstream
         && !server->partitioned && server->shown_term == server->follow_term;
}

void
ss_server_finish (SsServer *server)
{
  ss_store_finish (&server->store);
  g_ptr_array_free (server->sessions, TRUE);
  g_free (server->upstream);
  if (server->term_file)
    fclose (server->term_file);
}
