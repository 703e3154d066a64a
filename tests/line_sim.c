#include "tests/line_sim_internal.h"

#include <string.h>

#include "core/version.h"
#include "platform/dialect.h"
#include "tests/line_params.h"
#include "tests/line_texts.h"
#include "tests/server_reader.h"

#define START_MS 100000
#define THINK_TIME_MAX_MS 15
#define REPLY_MAX_MS 5000
#define WRITE_RETRY_MS 50
#define APPLY_LAG_MS 20

/* --- schedule --- */

static int
compare_scheduled (gconstpointer a, gconstpointer b, gpointer data)
{
  const ScheduledEvent *x = a;
  const ScheduledEvent *y = b;

  (void) data;
  return x->at_ms < y->at_ms ? -1 : x->at_ms > y->at_ms;
}

ScheduledEvent *
line_sim_schedule (LineSim *sim, int64_t after_ms, SsEventKind kind)
{
  ScheduledEvent *scheduled = g_new0 (ScheduledEvent, 1);

  scheduled->event.era = sim->era;
  scheduled->at_ms = sim->now_ms + after_ms;
  scheduled->event.kind = kind;
  g_queue_insert_sorted (&sim->schedule, scheduled, compare_scheduled, NULL);
  return scheduled;
}

static void
scheduled_free (gpointer data)
{
  ScheduledEvent *scheduled = data;

  if (scheduled->wire)
    g_bytes_unref (scheduled->wire);
  for (uint32_t i = 0; i < scheduled->cell_count; i++)
    g_free (scheduled->cells[i]);
  if (scheduled->texts)
    g_string_chunk_free (scheduled->texts);
  g_free (scheduled->objects);
  g_free (scheduled);
}

/* --- violations --- */

void
line_sim_violation (LineSim *sim, const char *what, const char *label,
                    const char *text)
{
  if (!sim->violations++)
    g_snprintf (sim->first_violation, sizeof sim->first_violation, "%s: %s %s",
                what, label, text);
}

/* --- callers --- */

static void
handle_reply (LineSim *sim, const SsAction *a)
{
  LineSession *s = &sim->sessions[a->id - 1];
  bool ran = a->verdict == SS_VERDICT_RAN;

  if (a->id == 0 || a->id > sim->session_count)
    return;
  if (!s->awaiting_reply)
    line_sim_violation (sim, "reply without a statement",
                        line_sim_last_label (sim, s->id), "");
  s->awaiting_reply = false;
  s->replied_ms = sim->now_ms;
  s->verdict = a->verdict;
  s->reason = a->reason;
  s->retry_after_ms = a->retry_after_ms;
  s->next_statement_ms
      = sim->now_ms + g_rand_int_range (sim->rand, 0, THINK_TIME_MAX_MS);
  if (ran && s->statement.kind == SS_STATEMENT_SET)
    ss_session_state_set (&s->state, s->statement.name, s->statement.value);
  if (ran && s->statement.kind == SS_STATEMENT_BEGIN)
    s->begin_is_read = s->statement.is_read;
  if (ran && s->statement.kind == SS_STATEMENT_DEALLOCATE)
    ss_session_state_deallocate (&s->state, s->statement.name);
  if (ran && s->statement.kind == SS_STATEMENT_PREPARE)
    ss_session_state_prepare (&s->state, s->statement.name, s->statement.value,
                              s->statement.is_read);
  if (ran
      && (s->statement.kind == SS_STATEMENT_WRITE
          || s->statement.kind == SS_STATEMENT_COMMIT)
      && a->transaction_status == 'I')
    s->committed = s->committing;
  s->status = a->transaction_status ? a->transaction_status : 'I';
  if (s->status == 'I')
    s->first_connection = 0;
  sim->served += ran ? 1 : 0;
  sim->not_run += a->verdict == SS_VERDICT_NOT_RUN ? 1 : 0;
  sim->in_doubt += a->verdict == SS_VERDICT_MAY_HAVE_RUN ? 1 : 0;
}

static void
handle_close (LineSim *sim, const SsAction *a)
{
  LineSession *s = &sim->sessions[a->id - 1];

  if (a->id == 0 || a->id > sim->session_count)
    return;
  if (s->awaiting_reply)
    line_sim_violation (sim, "session ended before the answer",
                        line_sim_last_label (sim, s->id), "");
  s->ended = true;
}

static void
record_rate_ask (LineSim *sim, const Ss__Peer__RateAsk *ask)
{
  sim->rate_asks++;
  sim->rate_slot = ask->slot;
  sim->rate_sent_ms = ask->sent_ms;
  sim->rate_echo_ms = ask->echo_ms;
  sim->rate_needed = ask->n_wants ? ask->wants[0]->needed : 0;
}

static void
record_position_reply (LineSim *sim, const Ss__Peer__MarkReply *reply)
{
  sim->position_replies++;
  sim->position_age_ms = reply->age_ms;
  sim->replied_position = ss_position_unpack (reply->mark);
}

static void
record_status_report (LineSim *sim, const Ss__Peer__StatusReport *report)
{
  if (!report->ask)
    return;
  sim->status_replies++;
  sim->replied_shown_term = report->state->shown_term;
}

static void
record_peer_message (LineSim *sim, const SsAction *a)
{
  gsize bytes;
  const uint8_t *data = g_bytes_get_data (a->bytes, &bytes);
  SsEnvelope *e = ss__peer__envelope__unpack (NULL, bytes, data);

  if (e->body_case == SS__PEER__ENVELOPE__BODY_LEASE_ASK)
    sim->lease_nonce = e->lease_ask->nonce;
  if (e->body_case == SS__PEER__ENVELOPE__BODY_STATUS_REPORT)
    record_status_report (sim, e->status_report);
  if (e->body_case == SS__PEER__ENVELOPE__BODY_CONFIG_PULL)
    sim->config_pulls++;
  if (e->body_case == SS__PEER__ENVELOPE__BODY_RATE_ASK)
    record_rate_ask (sim, e->rate_ask);
  if (e->body_case == SS__PEER__ENVELOPE__BODY_MARK_REPLY)
    record_position_reply (sim, e->mark_reply);
  ss__peer__envelope__free_unpacked (e, NULL);
}

static void
record_emitted (LineSim *sim, const SsAction *a)
{
  const char *const texts[] = { a->name, a->text, a->label, a->organisation };
  gsize bytes;
  const char *data;

  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    if (texts[i])
      g_string_append_printf (sim->emitted, "%s\n", texts[i]);
  if (!a->bytes)
    return;
  data = g_bytes_get_data (a->bytes, &bytes);
  for (gsize i = 0; i < bytes; i++)
    g_string_append_c (sim->emitted, data[i] ? data[i] : '\n');
}

static void
execute_actions (LineSim *sim)
{
  SsAction a;

  while (ss_node_take_action (&sim->node, &a))
    {
      if (sim->emitted)
        record_emitted (sim, &a);
      switch (a.kind)
        {
        case SS_ACTION_TARGET_CONNECT:
          line_server_connect (sim, &a);
          break;
        case SS_ACTION_TARGET_QUERY:
          line_server_query (sim, &a);
          break;
        case SS_ACTION_TARGET_CLOSE:
          g_hash_table_remove (sim->connections, &a.id);
          break;
        case SS_ACTION_CALLER_REPLY:
          handle_reply (sim, &a);
          break;
        case SS_ACTION_CALLER_CLOSE:
          handle_close (sim, &a);
          break;
        case SS_ACTION_STOPPED:
          sim->stopped_ms = sim->now_ms;
          break;
        case SS_ACTION_PEER_SEND:
          record_peer_message (sim, &a);
          break;
        default:
          line_sim_platform_action (sim, &a);
          break;
        }
      ss_action_clear (&a);
    }
}

const char *
line_sim_last_label (LineSim *sim, uint32_t session)
{
  static char label[32];

  g_snprintf (label, sizeof label, "c%u-%u", session,
              sim->sessions[session - 1].statements);
  return label;
}

uint32_t
line_sim_run_count (LineSim *sim, const char *label)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (sim->runs, label));
}

static void
send_statement (LineSim *sim, LineSession *s, const char *text)
{
  SsEvent e = { .kind = SS_EVENT_CALLER_STATEMENT };

  ss_statement_finish (&s->statement);
  server_reader_read (text, &s->statement);
  g_free (s->text);
  s->text = g_strdup (text);
  s->statements++;
  s->awaiting_reply = true;
  s->sent_ms = sim->now_ms;
  s->committing = s->committed;
  e.caller_statement.caller = s->id;
  e.caller_statement.label = line_sim_last_label (sim, s->id);
  e.caller_statement.sql = text;
  ss_node_on_event (&sim->node, &e, sim->now_ms);
  execute_actions (sim);
}

void
line_sim_deliver_peer_message (LineSim *sim, SsEnvelope *envelope)
{
  SsEvent e = { .kind = SS_EVENT_PEER_MESSAGE };
  size_t bytes;
  uint8_t *data;

  envelope->from = (char *) "b";
  bytes = ss__peer__envelope__get_packed_size (envelope);
  data = g_malloc (bytes);
  ss__peer__envelope__pack (envelope, data);
  e.peer_message.data = data;
  e.peer_message.data_bytes = (uint32_t) bytes;
  ss_node_on_event (&sim->node, &e, sim->now_ms);
  g_free (data);
  execute_actions (sim);
}

/* --- running --- */

static bool
is_deliverable (LineSim *sim, const SsEvent *e)
{
  switch (e->kind)
    {
    case SS_EVENT_TARGET_READY:
    case SS_EVENT_TARGET_CLOSED:
      return g_hash_table_contains (sim->connections, &e->target.connection);
    case SS_EVENT_TARGET_RESULT:
      return g_hash_table_contains (sim->connections,
                                    &e->target_result.connection);
    default:
      return true;
    }
}

static void
deliver (LineSim *sim, ScheduledEvent *scheduled)
{
  if (is_deliverable (sim, &scheduled->event))
    {
      if (scheduled->event.kind == SS_EVENT_TARGET_CLOSED)
        g_hash_table_remove (sim->connections,
                             &scheduled->event.target.connection);
      ss_node_on_event (&sim->node, &scheduled->event, sim->now_ms);
    }
  scheduled_free (scheduled);
  execute_actions (sim);
}

static void
step (LineSim *sim)
{
  SsEvent tick = { .kind = SS_EVENT_TICK };
  ScheduledEvent *scheduled;

  sim->now_ms++;
  line_server_replicate (sim);
  while ((scheduled = g_queue_peek_head (&sim->schedule))
         && scheduled->at_ms <= sim->now_ms)
    deliver (sim, g_queue_pop_head (&sim->schedule));
  if (ss_node_next_deadline (&sim->node) > sim->now_ms)
    return;
  ss_node_on_event (&sim->node, &tick, sim->now_ms);
  execute_actions (sim);
}

void
line_sim_advance (LineSim *sim, int64_t ms)
{
  for (int64_t i = 0; i < ms; i++)
    step (sim);
}

void
line_sim_send (LineSim *sim, uint32_t session, const char *text)
{
  send_statement (sim, &sim->sessions[session - 1], text);
}

bool
line_sim_execute (LineSim *sim, uint32_t session, const char *text)
{
  LineSession *s = &sim->sessions[session - 1];

  send_statement (sim, s, text);
  for (int64_t i = 0; i < REPLY_MAX_MS && s->awaiting_reply; i++)
    step (sim);
  return !s->awaiting_reply;
}

bool
line_sim_write (LineSim *sim, int64_t within_ms)
{
  int64_t due_ms = sim->now_ms + within_ms;

  while (sim->now_ms < due_ms)
    {
      if (line_sim_execute (sim, 1, "WRITE 1a x")
          && sim->sessions[0].verdict == SS_VERDICT_RAN)
        return true;
      line_sim_advance (sim, WRITE_RETRY_MS);
    }
  return false;
}

void
line_sim_crash (LineSim *sim, uint32_t server)
{
  GHashTableIter iter;
  gpointer value;

  sim->servers[server].down = true;
  g_hash_table_iter_init (&iter, sim->connections);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const LineConnection *c = value;

      if (c->server == &sim->servers[server])
        line_sim_schedule (sim, 1, SS_EVENT_TARGET_CLOSED)
            ->event.target.connection
            = c->id;
    }
}

/* --- random sessions --- */

static void
send_random_statement (LineSim *sim, LineSession *s)
{
  char *text = line_texts_next (sim, s);

  s->remaining--;
  send_statement (sim, s, text);
  g_free (text);
}

void
line_sim_send_random (LineSim *sim, uint32_t session)
{
  send_random_statement (sim, &sim->sessions[session - 1]);
}

static bool
is_done (const LineSim *sim)
{
  for (uint32_t i = 0; i < sim->session_count; i++)
    if (sim->sessions[i].remaining || sim->sessions[i].awaiting_reply)
      return false;
  return true;
}

void
line_sim_run_random (LineSim *sim, uint32_t statements)
{
  for (uint32_t i = 0; i < sim->session_count; i++)
    sim->sessions[i].remaining = statements;
  while (!is_done (sim))
    {
      for (uint32_t i = 0; i < sim->session_count; i++)
        {
          LineSession *s = &sim->sessions[i];

          if (s->remaining && !s->awaiting_reply
              && sim->now_ms >= s->next_statement_ms)
            send_random_statement (sim, s);
        }
      step (sim);
    }
}

/* --- set-up --- */

static void
start_core (LineSim *sim, uint32_t seed)
{
  SsNodeParams params;

  line_params_init (&params, "a", "d", seed);
  ss_node_init (&sim->node, &params, sim->now_ms);
}

static void
store_targets (LineSim *sim)
{
  for (uint32_t i = 0; i < LINE_SERVERS; i++)
    {
      char *key = g_strdup_printf ("target/%s", sim->servers[i].name);
      char *value
          = g_strdup_printf ("{\"group\":\"g\",\"ip\":\"10.0.1.%u\",\"port\":1,"
                             "\"failure_domain\":\"d\",\"slots\":2}",
                             i + 1);

      line_sim_store (sim, key, value);
      g_free (key);
      g_free (value);
    }
}

static void
store_routes (LineSim *sim, uint32_t max_connections)
{
  char *routes = g_strdup_printf (
      "{\"services\":{"
      "\"strict\":{\"group\":\"g\",\"default_kind\":\"strict\","
      "\"timeout_ms\":1000},"
      "\"bounded\":{\"group\":\"g\",\"default_kind\":\"b\",\"timeout_ms\":"
      "1000,\"kinds\":{\"b\":{\"staleness_ms\":2000}}}},"
      "\"groups\":{\"g\":{\"max_connections\":%u}}}",
      max_connections);

  line_sim_store (sim, "routes/main", routes);
  g_free (routes);
}

void
line_sim_open (LineSim *sim, uint32_t session, const char *service,
               const char *key)
{
  SsEvent e = { .kind = SS_EVENT_CALLER_OPEN };
  LineSession *s = &sim->sessions[session - 1];

  sim->session_count = MAX (sim->session_count, session);
  s->id = session;
  s->status = 'I';
  s->ended = false;
  s->awaiting_reply = true;
  e.caller_open.caller = session;
  e.caller_open.service = service;
  e.caller_open.user = "";
  e.caller_open.key = key;
  ss_node_on_event (&sim->node, &e, sim->now_ms);
  execute_actions (sim);
}

void
line_sim_close (LineSim *sim, uint32_t session)
{
  SsEvent e = { .kind = SS_EVENT_CALLER_CLOSE };

  e.caller.caller = session;
  ss_node_on_event (&sim->node, &e, sim->now_ms);
  execute_actions (sim);
}

void
line_sim_stop (LineSim *sim)
{
  SsEvent e = { .kind = SS_EVENT_STOP };

  ss_node_on_event (&sim->node, &e, sim->now_ms);
  execute_actions (sim);
}

void
line_sim_cancel (LineSim *sim, uint32_t session)
{
  SsEvent e = { .kind = SS_EVENT_CALLER_CANCEL };

  e.caller.caller = session;
  ss_node_on_event (&sim->node, &e, sim->now_ms);
  execute_actions (sim);
}

void
line_sim_operator (LineSim *sim, const char *text)
{
  SsEvent e = { .kind = SS_EVENT_OPERATOR };

  e.operator_command.id = 1;
  e.operator_command.text = text;
  e.operator_command.may_change = true;
  ss_node_on_event (&sim->node, &e, sim->now_ms);
  execute_actions (sim);
}

static void
open_sessions (LineSim *sim, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    line_sim_open (sim, i + 1, i % 2 ? "bounded" : "strict", NULL);
  sim->served = 0;
}

void
line_sim_reopen (LineSim *sim, uint32_t session, const char *key)
{
  SsEvent e = { .kind = SS_EVENT_CALLER_CLOSE };

  e.caller.caller = session;
  ss_node_on_event (&sim->node, &e, sim->now_ms);
  e = (SsEvent){ .kind = SS_EVENT_CALLER_OPEN };
  e.caller_open.caller = session;
  e.caller_open.service = session % 2 ? "strict" : "bounded";
  e.caller_open.user = "";
  e.caller_open.key = key;
  sim->sessions[session - 1].ended = false;
  sim->sessions[session - 1].awaiting_reply = true;
  ss_node_on_event (&sim->node, &e, sim->now_ms);
  execute_actions (sim);
}

void
line_sim_init (LineSim *sim, uint32_t seed, uint32_t sessions,
               uint32_t max_connections)
{
  static const char *const names[] = { "t1", "t2", "t3" };

  memset (sim, 0, sizeof *sim);
  sim->rand = g_rand_new_with_seed (seed);
  sim->now_ms = START_MS;
  sim->objects = line_sim_new_objects ();
  sim->versions = line_sim_new_versions ();
  sim->runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  sim->connections = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                            line_server_free_connection);
  g_queue_init (&sim->schedule);
  for (uint32_t i = 0; i < LINE_SERVERS; i++)
    {
      LineServer *s = &sim->servers[i];

      s->name = names[i];
      s->role = i ? SS_SERVER_REPLICA : SS_SERVER_PRIMARY;
      s->term = 1;
      s->received = (SsPosition){ 1, 0 };
      s->applied = s->received;
      s->lag_ms = APPLY_LAG_MS;
    }
  store_routes (sim, max_connections);
  store_targets (sim);
  start_core (sim, seed);
  /* The core finds the primary and records it in the group object. */
  line_sim_advance (sim, 6000);
  open_sessions (sim, sessions);
}

void
line_sim_finish (LineSim *sim)
{
  ss_node_finish (&sim->node);
  for (uint32_t i = 0; i < sim->session_count; i++)
    {
      ss_session_state_finish (&sim->sessions[i].state);
      ss_statement_finish (&sim->sessions[i].statement);
      g_free (sim->sessions[i].text);
    }
  g_queue_clear_full (&sim->schedule, scheduled_free);
  g_hash_table_destroy (sim->connections);
  g_hash_table_destroy (sim->runs);
  g_hash_table_destroy (sim->versions);
  g_tree_destroy (sim->objects);
  g_clear_pointer (&sim->copied_objects, g_tree_destroy);
  g_clear_pointer (&sim->copied_versions, g_hash_table_destroy);
  g_rand_free (sim->rand);
  if (sim->emitted)
    g_string_free (sim->emitted, TRUE);
}
