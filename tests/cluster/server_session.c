/* server_session: a connection to a server, and the statements it runs. */
#include <string.h>
#include <sys/socket.h>

#include "tests/cluster/servers_internal.h"
#include "tests/server_reader.h"

#define CONNECTIONS_MAX 21
#define HANDSHAKE_MS 2
#define WORK_MIN_MS 4
#define WORK_SPREAD_MS 20
#define STATUS_MS 1
#define BUSY_PERMILLE 10
#define LOST_PERMILLE 3
/* A connection whose other end is unreachable is dropped. */
#define UNREACHABLE_MS 3000

typedef struct
{
  ClusterServer *server;
  uint32_t boot; /* of the server */
  uint32_t vm;
  WorldStream stream;
  bool connected;
  char status; /* I, T or E */
  bool reads_only;
  int64_t term;         /* of a transaction's server at its BEGIN */
  uint32_t writes;      /* of the transaction */
  GHashTable *prepared; /* names whose statement writes */
  int64_t hold_ms;      /* for which the present answer is held back */
} Session;

/* A request of the session, and its answer. */
typedef struct
{
  const char *id;
  const char *text;
  SsStatement st;
  GString *answer;
} Request;

static char *
take_field (const char **rest)
{
  size_t bytes = strcspn (*rest, " ");
  char *field = g_strndup (*rest, bytes);

  *rest += bytes;
  if (**rest == ' ')
    (*rest)++;
  return field;
}

/* Answers that nothing was run; a transaction remains. */
static void
refuse (const Session *s, Request *r, const char *code)
{
  g_string_append_printf (r->answer, "ERROR %s %s\r\n", code, s->server->id);
}

/* Answers with an error; a transaction has then failed. */
static void
fail (Session *s, Request *r, const char *code)
{
  refuse (s, r, code);
  if (s->status == 'T')
    s->status = 'E';
}

static void
end_transaction (Session *s)
{
  s->status = 'I';
  s->reads_only = false;
  s->writes = 0;
}

static bool
is_gone (const Session *s)
{
  return !s->server->alive || s->server->boot != s->boot;
}

/* Whether the server of a plain transaction has lost the lead since BEGIN. */
static bool
lost_lead (const Session *s)
{
  return s->status == 'T' && !s->reads_only
         && (!s->server->is_primary || s->server->term != s->term);
}

/* Takes a slot for a statement, or refuses it. */
static bool
admit (Session *s, Request *r)
{
  bool admitted = cluster_servers_random (1000) >= BUSY_PERMILLE
                  && cluster_servers_take_slot (s->server);

  if (admitted && !is_gone (s))
    return true;
  if (admitted)
    cluster_servers_work (s->server, 0);
  refuse (s, r, "BUSY");
  return false;
}

static int64_t
work_ms (void)
{
  return WORK_MIN_MS + (int64_t) cluster_servers_random (WORK_SPREAD_MS);
}

static void
note_read (const Session *s, const Request *r)
{
  const ClusterServer *server = s->server;

  cluster_history_ran (r->id, server->number, server->term, server->is_primary,
                       server->is_primary ? server->received : server->applied);
}

static void
append_commit (Session *s, const char *id)
{
  ClusterServer *server = s->server;

  server->received = cluster_history_commit (id, server->number, server->term,
                                             server->received);
  server->applied = server->received;
}

static bool
may_not_run (const Session *s, bool is_write)
{
  return lost_lead (s)
         || (is_write && (!s->server->is_primary || s->reads_only));
}

static void
run_statement (Session *s, Request *r, bool is_write)
{
  if (may_not_run (s, is_write))
    {
      fail (s, r, "READONLY");
      return;
    }
  if (!admit (s, r))
    return;
  /* It may have waited for the slot. */
  if (may_not_run (s, is_write))
    {
      cluster_servers_work (s->server, 0);
      fail (s, r, "READONLY");
      return;
    }
  if (!is_write)
    note_read (s, r);
  else if (s->status == 'T')
    s->writes++;
  else
    append_commit (s, r->id);
  g_string_append_printf (r->answer, "%sCOMPLETE 7.%s\r\n",
                          is_write ? "" : "ROW row\r\n", r->id);
  cluster_servers_work (s->server, work_ms ());
}

static void
begin (Session *s, Request *r)
{
  if (s->status != 'I')
    {
      fail (s, r, "MALFORMED");
      return;
    }
  if (!r->st.is_read && !s->server->is_primary)
    {
      refuse (s, r, "READONLY");
      return;
    }
  s->status = 'T';
  s->reads_only = r->st.is_read;
  s->term = s->server->term;
  g_string_append (r->answer, "COMPLETE -\r\n");
}

/* The COMMIT of a transaction that wrote nothing runs anywhere. */
static void
commit (Session *s, Request *r)
{
  if (lost_lead (s) && s->writes)
    {
      refuse (s, r, "READONLY");
      end_transaction (s);
      return;
    }
  if (!admit (s, r))
    return;
  if (lost_lead (s) && s->writes)
    {
      cluster_servers_work (s->server, 0);
      refuse (s, r, "READONLY");
      end_transaction (s);
      return;
    }
  if (s->writes)
    append_commit (s, r->id);
  else
    note_read (s, r);
  end_transaction (s);
  g_string_append_printf (r->answer, "COMPLETE 7.%s\r\n", r->id);
  cluster_servers_work (s->server, work_ms ());
}

static void
end (Session *s, Request *r)
{
  if (s->status == 'T' && r->st.kind == SS_STATEMENT_COMMIT)
    {
      commit (s, r);
      return;
    }
  end_transaction (s);
  g_string_append (r->answer, "COMPLETE -\r\n");
}

static void
prepare (Session *s, Request *r)
{
  if (r->st.is_read)
    g_hash_table_remove (s->prepared, r->st.name);
  else
    g_hash_table_add (s->prepared, g_strdup (r->st.name));
  g_string_append (r->answer, "COMPLETE -\r\n");
}

static void
run_request (Session *s, Request *r)
{
  switch (r->st.kind)
    {
    case SS_STATEMENT_READ:
    case SS_STATEMENT_WRITE:
      run_statement (s, r, r->st.kind == SS_STATEMENT_WRITE);
      break;
    case SS_STATEMENT_EXECUTE:
      run_statement (s, r, g_hash_table_contains (s->prepared, r->st.name));
      break;
    case SS_STATEMENT_BEGIN:
      begin (s, r);
      break;
    case SS_STATEMENT_COMMIT:
    case SS_STATEMENT_ROLLBACK:
      end (s, r);
      break;
    case SS_STATEMENT_PREPARE:
      prepare (s, r);
      break;
    case SS_STATEMENT_SET:
    case SS_STATEMENT_DEALLOCATE:
      g_string_append (r->answer, "COMPLETE -\r\n");
      break;
    case SS_STATEMENT_INVALID:
    default:
      fail (s, r, "MALFORMED");
    }
}

/* --- statements that only the system sends --- */

static void
answer_status (Session *s, Request *r)
{
  const ClusterServer *server = s->server;

  g_string_append_printf (
      r->answer,
      "ROW %s %" G_GINT64_FORMAT " %" G_GINT64_FORMAT ".%" G_GINT64_FORMAT
      " %" G_GINT64_FORMAT " 0 %u %u\r\nCOMPLETE -\r\n",
      server->is_primary ? "primary" : "replica", server->term, server->term,
      server->received->number, server->barred_term, server->running,
      server->fds->len);
}

static void
answer_in_slot (Session *s, Request *r)
{
  if (!admit (s, r))
    return;
  answer_status (s, r);
  cluster_servers_work (s->server, STATUS_MS);
  s->hold_ms = s->server->status_delay_ms;
}

/* Returns false if TEXT is another statement. */
static bool
run_system_request (Session *s, Request *r)
{
  ClusterServer *server = s->server;
  const char *rest = r->text;
  char *word = take_field (&rest);
  int64_t term = g_ascii_strtoll (rest, NULL, 10);
  bool known = true;

  if (strcmp (word, "RESET") == 0)
    {
      g_hash_table_remove_all (s->prepared);
      g_string_append (r->answer, "COMPLETE -\r\n");
      g_free (word);
      return true;
    }
  if (strcmp (word, "PAUSE") == 0 && !server->is_primary
      && term > MAX (server->term, server->barred_term))
    server->barred_term = term;
  else if (strcmp (word, "RESUME") == 0)
    server->barred_term = 0;
  else if (strcmp (word, "STEPDOWN") == 0)
    cluster_servers_step_down (server, term);
  else
    known = strcmp (word, "STATUS") == 0 || strcmp (word, "PAUSE") == 0;
  if (strcmp (word, "STATUS") == 0)
    answer_in_slot (s, r);
  else if (known)
    answer_status (s, r);
  g_free (word);
  return known;
}

/* Takes WAITFOR and a position off the request's text.  Returns false if the
 * server's log lacks the position.
 */
static bool
take_position (const Session *s, Request *r)
{
  static const char keyword[] = "WAITFOR ";
  const ClusterServer *server = s->server;
  char *end;
  int64_t term;
  int64_t number;

  if (!g_str_has_prefix (r->text, keyword))
    return true;
  term = g_ascii_strtoll (r->text + sizeof keyword - 1, &end, 10);
  number = *end == '.' ? g_ascii_strtoll (end + 1, &end, 10) : 0;
  r->text = *end == ' ' ? end + 1 : end;
  return term <= server->term && number <= server->applied->number;
}

/* A failed transaction is ended, and takes no other statement. */
static bool
is_refused (const Session *s, const Request *r)
{
  return s->status == 'E' && r->st.kind != SS_STATEMENT_ROLLBACK
         && r->st.kind != SS_STATEMENT_COMMIT;
}

static void
run_query (Session *s, Request *r)
{
  bool reached = take_position (s, r);

  server_reader_read (r->text, &r->st);
  if (!reached)
    refuse (s, r, "LAGGING");
  else if (is_refused (s, r))
    refuse (s, r, "MALFORMED");
  else if (strcmp (r->id, "-") != 0 || !run_system_request (s, r))
    run_request (s, r);
  ss_statement_finish (&r->st);
}

/* --- messages --- */

/* Returns false if the connection is closed after the answer. */
static bool
open_session (Session *s, const char *rest, GString *answer)
{
  char *service = take_field (&rest);
  char *caller = take_field (&rest);
  bool is_this
      = strcmp (service, cluster_servers_service (s->server->group)) == 0
        && (!*rest || strcmp (rest, s->server->id) == 0);

  g_free (service);
  g_free (caller);
  if (!is_this)
    g_string_append (answer, "ERROR MISROUTED other\r\n");
  else if (s->server->fds->len > CONNECTIONS_MAX)
    g_string_append (answer, "ERROR CONNLIMIT full\r\n");
  if (answer->len)
    return false;
  s->connected = true;
  if (cluster_servers_take_slot (s->server))
    cluster_servers_work (s->server, HANDSHAKE_MS);
  return true;
}

static bool
handle_query (Session *s, const char *rest, GString *answer)
{
  char *id = take_field (&rest);
  Request r = { .id = id, .text = rest, .answer = answer };

  run_query (s, &r);
  g_free (id);
  return true;
}

/* Returns false if the connection is closed after the answer. */
static bool
handle_message (Session *s, const char *line, GString *answer)
{
  const char *rest = line;
  char *word = take_field (&rest);
  bool stays = false;

  if (strcmp (word, "CONNECT") == 0 && !s->connected)
    stays = open_session (s, rest, answer);
  else if (strcmp (word, "QUERY") == 0 && s->connected)
    stays = handle_query (s, rest, answer);
  if (stays)
    g_string_append_printf (
        answer, "READY %c %" G_GINT64_FORMAT ".%" G_GINT64_FORMAT "\r\n",
        s->status, s->server->term, s->server->applied->number);
  g_free (word);
  return stays;
}

/* Returns false if the connection ends. */
static bool
send_answer (Session *s, const GString *answer)
{
  bool lost = s->connected && cluster_servers_random (1000) < LOST_PERMILLE;

  world_sleep_ms (s->hold_ms);
  s->hold_ms = 0;
  return !lost
         && cluster_links_await (CLUSTER_NODE_SERVER (s->server->number),
                                 CLUSTER_NODE_VM (s->vm), UNREACHABLE_MS)
         && world_send (s->stream.fd, answer->str, answer->len);
}

/* Serves one message.  Returns false if the connection ends. */
static bool
serve_message (Session *s)
{
  char *line = world_stream_line (&s->stream, -1);
  GString *answer = g_string_new (NULL);
  bool stays = line
               && cluster_links_await (CLUSTER_NODE_VM (s->vm),
                                       CLUSTER_NODE_SERVER (s->server->number),
                                       UNREACHABLE_MS);

  if (stays)
    {
      g_mutex_lock (&cluster_servers_lock);
      stays = !is_gone (s) && handle_message (s, line, answer) && !is_gone (s);
      g_mutex_unlock (&cluster_servers_lock);
    }
  stays = stays && send_answer (s, answer);
  g_string_free (answer, TRUE);
  g_free (line);
  return stays;
}

void
cluster_session_serve (int fd, uint32_t number)
{
  Session s = { .status = 'I' };
  int peer = cluster_links_peer (fd);

  s.vm = (uint32_t) MAX (peer, 0);
  s.prepared = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  world_stream_init (&s.stream, fd);
  g_mutex_lock (&cluster_servers_lock);
  s.server = cluster_servers_get (number);
  s.boot = s.server->boot;
  g_ptr_array_add (s.server->fds, GINT_TO_POINTER (fd));
  g_mutex_unlock (&cluster_servers_lock);
  while (serve_message (&s))
    continue;
  g_mutex_lock (&cluster_servers_lock);
  g_ptr_array_remove (s.server->fds, GINT_TO_POINTER (fd));
  g_mutex_unlock (&cluster_servers_lock);
  world_stream_finish (&s.stream);
  g_hash_table_destroy (s.prepared);
}
