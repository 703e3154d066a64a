#include "tests/sql_server.h"

#include <string.h>

#include "core/requests.h"
#include "tests/unit.h"

#define START_MS 100000
#define STEP_MS 10
#define STEPS_MAX 500
#define CALLER 1
#define TABLE "kv"
#define STATUS_CALL "SELECT * FROM sapphirestair_"

typedef struct
{
  uint64_t id;
  GByteArray *out;
  SsSqlSession sql;
} Connection;

static int64_t
read_clock (const SsClock *clock)
{
  return ((const SqlServer *) clock)->now_ms;
}

static void
free_connection (gpointer data)
{
  Connection *c = data;

  ss_sql_session_finish (&c->sql);
  g_byte_array_free (c->out, TRUE);
  g_free (c);
}

static void
deliver (SqlServer *sim, const SsEvent *event)
{
  ss_node_on_event (&sim->node, event, sim->now_ms);
}

static void
connect_target (SqlServer *sim, const SsAction *a)
{
  Connection *c = g_new0 (Connection, 1);
  SsEvent e = { .kind = SS_EVENT_TARGET_READY };

  c->id = a->id;
  c->out = g_byte_array_new ();
  ss_sql_session_init (&c->sql, &sim->server);
  c->sql.out = c->out;
  g_hash_table_insert (sim->connections, &c->id, c);
  e.target.connection = a->id;
  deliver (sim, &e);
}

static void
close_connection (SqlServer *sim, uint64_t id)
{
  SsEvent e = { .kind = SS_EVENT_TARGET_CLOSED };

  g_hash_table_remove (sim->connections, &id);
  e.target.connection = id;
  deliver (sim, &e);
}

/* Whether a statement of the response in OUT changes its session. */
static bool
changes_session (const GByteArray *out)
{
  bool changes = false;
  uint32_t length;

  for (guint at = 0; at + 5 <= out->len; at += 1 + length)
    {
      memcpy (&length, out->data + at + 1, sizeof length);
      length = GUINT32_FROM_BE (length);
      if (out->data[at] == 'C')
        changes = changes
                  || ss_session_sql_tag_changes_session (
                      (const char *) out->data + at + 5);
    }
  return changes;
}

static void
report_result (SqlServer *sim, Connection *c, const SsAction *a)
{
  SsStore *store = &sim->server.store;
  SsTargetResult r = { .ok = !c->sql.failed,
                       .transaction_status = c->sql.status,
                       .sqlstate = c->sql.sqlstate,
                       .tag = c->sql.tag,
                       .changes_session = changes_session (c->out) };
  SsEvent e = { .kind = SS_EVENT_TARGET_RESULT };

  r.wire = g_bytes_new (c->out->data, c->out->len);
  r.commit.offset = c->sql.commit_position;
  r.commit.term = ss_store_term_at (store, c->sql.commit_position);
  r.applied.offset = store->applied;
  r.applied.term = ss_store_term_at (store, store->applied);
  r.row_cells = a->want_row ? c->sql.row_cells : 0;
  r.row = r.row_cells ? (const char *const *) c->sql.row : NULL;
  e.target_result.connection = c->id;
  e.target_result.result = &r;
  deliver (sim, &e);
  g_bytes_unref (r.wire);
}

static void
run_query (SqlServer *sim, const SsAction *a)
{
  Connection *c = g_hash_table_lookup (sim->connections, &a->id);
  bool is_status = g_str_has_prefix (a->text, STATUS_CALL);

  if (!c)
    return;
  g_byte_array_set_size (c->out, 0);
  ss_sql_session_run (&c->sql, a->text);
  if (!is_status)
    {
      g_ptr_array_add (sim->sent, g_strdup (a->text));
      g_array_append_val (sim->sent_on, c->id);
    }
  if (!is_status && sim->loses_next)
    {
      sim->loses_next = false;
      close_connection (sim, c->id);
      return;
    }
  report_result (sim, c, a);
}

static void
take_reply (SqlServer *sim, SsAction *a)
{
  ss_action_clear (&sim->reply);
  sim->reply = *a;
  sim->replied = true;
  memset (a, 0, sizeof *a);
}

static void
pump (SqlServer *sim)
{
  SsAction a;

  while (ss_node_take_action (&sim->node, &a))
    {
      if (a.kind == SS_ACTION_TARGET_CONNECT)
        connect_target (sim, &a);
      else if (a.kind == SS_ACTION_TARGET_QUERY)
        run_query (sim, &a);
      else if (a.kind == SS_ACTION_TARGET_CLOSE)
        g_hash_table_remove (sim->connections, &a.id);
      else if (a.kind == SS_ACTION_CALLER_REPLY)
        take_reply (sim, &a);
      ss_action_clear (&a);
    }
}

static void
step (SqlServer *sim)
{
  SsEvent tick = { .kind = SS_EVENT_TICK };

  sim->now_ms += STEP_MS;
  deliver (sim, &tick);
  pump (sim);
}

static void
await_reply (SqlServer *sim)
{
  for (uint32_t i = 0; i < STEPS_MAX && !sim->replied; i++)
    step (sim);
  CU_ASSERT (sim->replied);
}

void
sql_server_put (SqlServer *sim, const char *key, const char *json)
{
  SsObject o = { .key = key,
                 .version = ++sim->version,
                 .value = json,
                 .value_bytes = (uint32_t) strlen (json) };
  SsEvent e = { .kind = SS_EVENT_PLATFORM_OBJECTS };

  e.platform_objects.outcome = SS_PLATFORM_DONE;
  e.platform_objects.since = sim->node.watches[SS_WATCH_ALL].since;
  e.platform_objects.revision = sim->version;
  e.platform_objects.objects = &o;
  e.platform_objects.object_count = 1;
  deliver (sim, &e);
  pump (sim);
}

static void
open_session (SqlServer *sim)
{
  SsEvent e = { .kind = SS_EVENT_CALLER_OPEN };

  e.caller_open.caller = CALLER;
  e.caller_open.service = "s";
  sim->replied = false;
  deliver (sim, &e);
  pump (sim);
  await_reply (sim);
}

static void
await_primary (SqlServer *sim)
{
  const SsAction *reply = NULL;

  for (uint32_t i = 0; i < STEPS_MAX; i++)
    {
      reply = sql_server_run (sim, "SELECT 1");
      if (reply->verdict == SS_VERDICT_RAN)
        return;
      step (sim);
    }
  CU_FAIL ("no primary");
}

void
sql_server_init (SqlServer *sim)
{
  SsNodeParams params = { .vm = "a",
                          .failure_domain = "d",
                          .ip = "10.0.0.1",
                          .peer_port = 1,
                          .seeds = "",
                          .seed = 7,
                          .deadline_ms = 1000,
                          .transaction_idle_ms = 60000,
                          .stop_bound_ms = 1000 };

  memset (sim, 0, sizeof *sim);
  sim->base.now_ms = read_clock;
  sim->now_ms = START_MS;
  sim->connections = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                            free_connection);
  sim->sent = g_ptr_array_new_with_free_func (g_free);
  sim->sent_on = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  ss_server_init (&sim->server, &sim->base, NULL);
  ss_node_init (&sim->node, &params, sim->now_ms);
  sql_server_put (sim, "service/s",
                  "{\"group\":\"g\",\"kinds\":{\"report\":"
                  "{\"staleness_ms\":60000}}}");
  sql_server_put (sim, "target/t",
                  "{\"group\":\"g\",\"ip\":\"10.0.0.2\",\"port\":5432,"
                  "\"failure_domain\":\"d\",\"max_connections\":8}");
  sql_server_put (sim, "group/g", "{\"term\":1,\"primary\":\"t\"}");
  sim->node.ready = true;
  open_session (sim);
  await_primary (sim);
}

void
sql_server_finish (SqlServer *sim)
{
  ss_node_finish (&sim->node);
  g_hash_table_destroy (sim->connections);
  ss_server_finish (&sim->server);
  ss_action_clear (&sim->reply);
  g_ptr_array_free (sim->sent, TRUE);
  g_array_free (sim->sent_on, TRUE);
}

const SsAction *
sql_server_run (SqlServer *sim, const char *sql)
{
  SsEvent e = { .kind = SS_EVENT_CALLER_STATEMENT };

  e.caller_statement.caller = CALLER;
  e.caller_statement.sql = sql;
  sim->replied = false;
  deliver (sim, &e);
  pump (sim);
  await_reply (sim);
  return &sim->reply;
}

static void
deliver_message (SqlServer *sim, const Ss__Peer__Envelope *message)
{
  size_t bytes = ss__peer__envelope__get_packed_size (message);
  uint8_t *data = g_malloc (bytes);
  SsEvent e = { .kind = SS_EVENT_PEER_MESSAGE };

  ss__peer__envelope__pack (message, data);
  e.peer_message.data = data;
  e.peer_message.data_bytes = (uint32_t) bytes;
  deliver (sim, &e);
  pump (sim);
  g_free (data);
}

void
sql_server_deliver_run (SqlServer *sim, const SqlRun *run)
{
  Ss__Peer__Envelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__Run message = SS__PEER__RUN__INIT;

  message.request = run->id;
  message.session = run->id;
  message.target = (char *) "t";
  message.service = (char *) "s";
  message.sql.data = (uint8_t *) run->sql;
  message.sql.len = run->bytes;
  message.left_ms = 500;
  message.request_key = (char *) run->key;
  message.organisation = (char *) run->organisation;
  message.keeps = true;
  e.from = (char *) "b";
  e.body_case = SS__PEER__ENVELOPE__BODY_RUN;
  e.run = &message;
  deliver_message (sim, &e);
}

uint32_t
sql_server_rows (const SqlServer *sim, const char *key)
{
  const GPtrArray *values = ss_store_values (&sim->server.store, TABLE, key);

  return values ? values->len : 0;
}

bool
sql_server_sent (const SqlServer *sim, const char *part)
{
  for (guint i = 0; i < sim->sent->len; i++)
    if (strstr (g_ptr_array_index (sim->sent, i), part))
      return true;
  return false;
}

void
sql_server_lose_transaction (SqlServer *sim)
{
  GHashTableIter iter;
  gpointer value;
  GArray *ids = g_array_new (FALSE, FALSE, sizeof (uint64_t));

  g_hash_table_iter_init (&iter, sim->connections);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((Connection *) value)->sql.status != 'I')
      g_array_append_val (ids, ((Connection *) value)->id);
  for (guint i = 0; i < ids->len; i++)
    close_connection (sim, g_array_index (ids, uint64_t, i));
  g_array_free (ids, TRUE);
  pump (sim);
}
