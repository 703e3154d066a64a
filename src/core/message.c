#include <stdarg.h>
#include <string.h>

#include "core/message.h"
#include "kernel/text.h"

const char *
ss_watch_prefix (SsWatch watch)
{
  static const char *const prefixes[] = {
#define X(id, prefix) prefix,
    SS_WATCHES (X)
#undef X
  };

  return prefixes[watch];
}

void
ss_action_clear (SsAction *action)
{
  g_free (action->name);
  g_free (action->text);
  g_free (action->label);
  g_free (action->organisation);
  g_clear_pointer (&action->bytes, g_bytes_unref);
}

SsAction *
ss_node_push (SsNode *node, SsActionKind kind)
{
  SsAction *a = g_new0 (SsAction, 1);

  a->kind = kind;
  g_queue_push_tail (&node->actions, a);
  return a;
}

/* Limits in lines per second of one event: enough to show a pattern, few enough
 * to cost nothing under load.  Successful requests are the least informative.
 */
#define LOG_LINES_PER_S 40
#define LOG_SUCCESSES_PER_S 5

/* Longest subject of a line: a caller's id may have 1 MiB. */
#define LOG_SUBJECT_MAX_BYTES 256

static char *
copy_subject (const char *subject)
{
  return subject && strlen (subject) > LOG_SUBJECT_MAX_BYTES
             ? ss_text_shorten (subject, LOG_SUBJECT_MAX_BYTES)
             : g_strdup (subject);
}

/* Whether a line of EVENT may be written now.  Sets *LEFT_OUT to the number of
 * lines suppressed since the last one.
 */
static bool
consume_log_quota (SsNode *node, SsLogEvent event, uint32_t *left_out)
{
  SsLogQuota *q = &node->log_quotas[event];
  uint32_t limit = event == SS_EVENT_LOG_REQUEST_RAN ? LOG_SUCCESSES_PER_S
                                                     : LOG_LINES_PER_S;

  if (node->now_ms - q->since_ms >= 1000)
    {
      q->since_ms = node->now_ms;
      q->written = 0;
    }
  if (event != SS_EVENT_LOG_SPAN && q->written >= limit)
    {
      q->left_out++;
      return false;
    }
  q->written++;
  *left_out = q->left_out;
  q->left_out = 0;
  return true;
}

void
ss_node_log (SsNode *node, SsLogEvent event, const char *subject,
             const char *format, ...)
{
  uint32_t left_out;
  SsAction *a;
  va_list args;
  char *text;

  if (!consume_log_quota (node, event, &left_out))
    return;
  a = ss_node_push (node, SS_ACTION_LOG);
  a->log_event = event;
  a->name = copy_subject (subject);
  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  a->text = left_out ? g_strdup_printf ("%s left_out=%u", text, left_out)
                     : g_strdup (text);
  g_free (text);
}

static bool
is_control (const SsEnvelope *envelope)
{
  switch (envelope->body_case)
    {
    case SS__PEER__ENVELOPE__BODY_RUN:
    case SS__PEER__ENVELOPE__BODY_RUN_REPLY:
    case SS__PEER__ENVELOPE__BODY_CANCEL:
    case SS__PEER__ENVELOPE__BODY_SESSION_END:
      return false;
    default:
      return true;
    }
}

static void
count_traffic (SsNode *node, const char *vm, const SsEnvelope *envelope,
               size_t bytes)
{
  bool same = ss_members_is_in_domain (&node->members,
                                       ss_members_find (&node->members, vm));
  SsTrafficKind kind = ss_traffic_kind ((int) envelope->body_case);

  node->traffic
      .bytes[kind][same ? SS_TRAFFIC_SAME_DOMAIN : SS_TRAFFIC_OTHER_DOMAIN]
      += bytes;
}

void
ss_node_send (SsNode *node, const char *vm, SsEnvelope *envelope)
{
  size_t bytes;
  uint8_t *data;
  GBytes *packed;
  SsAction *a;

  envelope->from = (char *) node->params.vm;
  bytes = ss__peer__envelope__get_packed_size (envelope);
  data = g_malloc (bytes);
  ss__peer__envelope__pack (envelope, data);
  packed = g_bytes_new_take (data, bytes);
  if (strcmp (vm, node->params.vm) == 0)
    {
      g_queue_push_tail (&node->local, packed);
      return;
    }
  a = ss_node_push (node, SS_ACTION_PEER_SEND);
  a->name = g_strdup (vm);
  a->bytes = packed;
  a->is_control = is_control (envelope);
  count_traffic (node, vm, envelope, bytes);
  ss_node_count (node, SS_COUNTER_PEER_MESSAGES);
  node->counters.values[SS_COUNTER_PEER_BYTES] += bytes;
  if (!a->is_control)
    return;
  ss_node_count (node, SS_COUNTER_CONTROL_MESSAGES);
  node->counters.values[SS_COUNTER_CONTROL_BYTES] += bytes;
}

SsPosition
ss_position_unpack (const Ss__Peer__Position *position)
{
  SsPosition p = { 0, 0 };

  if (position)
    p = (SsPosition){ position->term, position->offset };
  return p;
}

void
ss_position_pack (Ss__Peer__Position *out, SsPosition position)
{
  ss__peer__position__init (out);
  out->term = position.term;
  out->offset = position.offset;
}

void
ss_state_unpack (const Ss__Peer__ServerState *in, SsServerState *out)
{
  memset (out, 0, sizeof *out);
  out->reachable = in->reachable;
  out->refused = in->refused;
  if (in->role <= SS_SERVER_FENCED)
    out->role = (SsServerRole) in->role;
  out->shown_term = in->shown_term;
  out->held = ss_position_unpack (in->held);
  out->applied = ss_position_unpack (in->applied);
  out->silence_ms = in->silence_ms;
  out->follow_term = in->follow_term;
  out->wait_ms = in->wait_ms;
  out->mean_wait_ms = in->mean_wait_ms;
  out->stalled_ms = in->stalled_ms;
  out->lag_ms = in->lag_ms;
  out->barred_term = in->barred_term;
  out->concurrency_limit = in->concurrency_limit;
  out->slowness_percent = in->slowness_percent;
  out->speed_unknown = in->speed_unknown;
  for (size_t i = 0; i < in->n_history && i < SS_HISTORY_MAX; i++)
    out->history.starts[out->history.count++]
        = ss_position_unpack (in->history[i]);
}

void
ss_state_pack (SsPackedState *out, const SsServerState *s, int64_t age_ms)
{
  Ss__Peer__ServerState *m = &out->message;

  ss__peer__server_state__init (m);
  ss_position_pack (&out->held, s->held);
  ss_position_pack (&out->applied, s->applied);
  for (uint32_t i = 0; i < s->history.count; i++)
    {
      ss_position_pack (&out->history[i], s->history.starts[i]);
      out->history_list[i] = &out->history[i];
    }
  m->reachable = s->reachable;
  m->refused = s->refused;
  m->role = s->role;
  m->shown_term = s->shown_term;
  m->held = &out->held;
  m->applied = &out->applied;
  m->silence_ms = s->silence_ms;
  m->follow_term = s->follow_term;
  m->history = out->history_list;
  m->n_history = s->history.count;
  m->age_ms = (uint32_t) MIN (age_ms, G_MAXINT32);
  m->lag_ms = s->lag_ms;
  m->barred_term = s->barred_term;
  m->wait_ms = s->wait_ms;
  m->mean_wait_ms = s->mean_wait_ms;
  m->stalled_ms = s->stalled_ms;
  m->concurrency_limit = s->concurrency_limit;
  m->slowness_percent = s->slowness_percent;
  m->speed_unknown = s->speed_unknown;
}

const char *
ss_node_owner (SsNode *node, SsTarget *target)
{
  if (target->removed)
    return NULL;
  if (target->owner_generation != node->members.generation)
    {
      target->owner = ss_roles_owner (&node->members, target->failure_domain,
                                      target->name);
      /* The failure domain has no live VM: a VM of another one owns its
       * targets.
       */
      if (!target->owner && node->params.cross_domain_owners)
        target->owner = ss_roles_owner (&node->members, NULL, target->name);
      if (target->owner && !node->settled
          && strcmp (target->owner, node->params.vm) == 0)
        target->owner = NULL;
      target->owner_generation = node->members.generation;
    }
  return target->owner;
}

bool
ss_node_is_owner (SsNode *node, SsTarget *target)
{
  const char *owner = ss_node_owner (node, target);

  return owner && strcmp (owner, node->params.vm) == 0;
}

void
ss_node_update_state (SsNode *node, SsTarget *target,
                      const SsServerState *state, uint32_t age_ms)
{
  int64_t asked_ms = node->now_ms - age_ms;

  if (asked_ms < target->state_ms)
    return;
  target->state = *state;
  target->state_ms = asked_ms;
  if (state->reachable)
    target->reachable_ms = node->now_ms;
}
