#include "core/tables.h"

#include <stdlib.h>
#include <string.h>

#include "core/owner.h"
#include "core/promotion.h"
#include "core/version.h"

typedef struct
{
  SsNode *node;
  json_t *rows;
} RowsContext;

static void
add_row (RowsContext *r, json_t *row)
{
  json_array_append_new (r->rows, row);
}

static char *
position_text (SsPosition p, char *out)
{
  ss_position_format (p, out);
  return out;
}

static gboolean
add_service (gpointer key, gpointer value, gpointer data)
{
  RowsContext *r = data;
  const SsService *s = value;
  const SsGroup *group = ss_config_group (&r->node->config, s->group);
  GString *kinds = g_string_new (NULL);

  (void) key;
  for (uint32_t i = 0; i < s->kind_count; i++)
    g_string_append_printf (kinds, "%s%s=%" G_GINT64_FORMAT, i ? " " : "",
                            s->kinds[i].name, s->kinds[i].staleness_ms);
  add_row (r, json_pack ("{s:s, s:s, s:s, s:s, s:s, s:s, s:i, s:I, s:I}",
                         "name", s->name, "group", s->group, "primary",
                         group ? group->primary : "", "kinds_staleness_ms",
                         kinds->str, "default_kind", s->default_kind,
                         "acknowledge",
                         s->acknowledge_majority ? "majority" : "primary",
                         "weight", (int) s->weight, "version",
                         (json_int_t) ss_version_revision (s->version), "era",
                         (json_int_t) ss_version_era (s->version)));
  g_string_free (kinds, TRUE);
  return FALSE;
}

/* Returns the replication lag of T in log entries: the primary's last entry
 * minus the last that T has applied.  Returns -1 if either is unknown.
 */
static json_int_t
replication_lag (SsNode *node, const SsTarget *t)
{
  const SsGroup *group = ss_config_group (&node->config, t->group);
  const SsTarget *primary = group ? ss_group_primary (group) : NULL;

  if (!primary || !primary->state_ms || !t->state_ms)
    return -1;
  return (json_int_t) primary->state.held.offset
         - (json_int_t) t->state.applied.offset;
}

static json_t *
target_row (SsNode *node, SsTarget *t)
{
  const SsOwnedTarget *owned = ss_owner_find (node, t->name);
  const SsServerState *s = &t->state;
  const char *owner = ss_node_owner (node, t);
  char held[SS_POSITION_TEXT_BYTES];
  char applied[SS_POSITION_TEXT_BYTES];

  return json_pack (
      "{s:s, s:s, s:s, s:s, s:b, s:s, s:I, s:s, s:s, s:I, s:I, s:i, s:i, "
      "s:i, s:i, s:b, s:b, s:I, s:I, s:I}",
      "name", t->name, "group", t->group, "failure_domain", t->failure_domain,
      "owner_vm", owner ? owner : "", "reachable", s->reachable, "role",
      ss_server_role_text (s->role), "term", (json_int_t) s->shown_term, "held",
      position_text (s->held, held), "applied",
      position_text (s->applied, applied), "lag_entries",
      replication_lag (node, t), "silence_ms",
      (json_int_t) (s->role == SS_SERVER_REPLICA ? s->silence_ms : 0),
      "connections", owned ? (int) owned->connections->len : 0,
      "max_connections", (int) t->max_connections, "queued",
      owned ? (int) ss_queue_length (&owned->queue) : 0, "running",
      owned ? (int) (owned->queue.running[0] + owned->queue.running[1]) : 0,
      "draining", t->draining, "listed", !t->unlisted, "version",
      (json_int_t) ss_version_revision (t->version), "era",
      (json_int_t) ss_version_era (t->version), "age_ms",
      (json_int_t) (t->state_ms ? node->now_ms - t->state_ms : -1));
}

static gboolean
add_owned_target (gpointer key, gpointer value, gpointer data)
{
  RowsContext *r = data;

  (void) key;
  if (ss_node_is_owner (r->node, value))
    add_row (r, target_row (r->node, value));
  return FALSE;
}

static gboolean
add_group (gpointer key, gpointer value, gpointer data)
{
  RowsContext *r = data;
  const SsGroup *g = value;
  SsPromotion *p = ss_promote_get (r->node, g->name);
  uint32_t reachable = 0;

  (void) key;
  for (uint32_t i = 0; i < g->server_count; i++)
    reachable += g->servers[i]->state.reachable ? 1 : 0;
  add_row (r,
           json_pack ("{s:s, s:I, s:s, s:i, s:i, s:i, s:i, s:b, s:s, s:I, s:I}",
                      "name", g->name, "term", (json_int_t) g->term, "primary",
                      g->primary, "servers", (int) g->server_count,
                      "reachable_servers", (int) reachable, "voters",
                      (int) g->current.count, "former_voters",
                      (int) g->former.count, "promotion_running",
                      p->step != SS_PROMOTE_IDLE, "operation", g->operation,
                      "version", (json_int_t) ss_version_revision (g->version),
                      "era", (json_int_t) ss_version_era (g->version)));
  return FALSE;
}

static void
add_vm (RowsContext *r)
{
  SsNode *n = r->node;

  add_row (r,
           json_pack ("{s:s, s:s, s:b, s:b, s:I, s:i, s:i, s:b, s:I}", "vm",
                      n->params.vm, "failure_domain", n->params.failure_domain,
                      "ready", n->ready, "leaving", n->stopping, "revision",
                      (json_int_t) ss_version_revision (n->config.revision),
                      "sessions", (int) g_hash_table_size (n->sessions),
                      "requests", (int) g_hash_table_size (n->requests),
                      "platform_down", n->platform_down, "up_ms",
                      (json_int_t) (n->now_ms - n->started_ms)));
}

static void
add_sessions (RowsContext *r)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, r->node->sessions);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const SsSession *s = value;
      char floor[SS_POSITION_TEXT_BYTES];

      add_row (r,
               json_pack (
                   "{s:s, s:I, s:s, s:s, s:s, s:s, s:I}", "vm",
                   r->node->params.vm, "session", (json_int_t) s->id, "service",
                   s->service, "floor", position_text (s->floor, floor),
                   "transaction_target",
                   s->pinned_target ? s->pinned_target : "", "waits_for",
                   s->request && s->request->target ? s->request->target : "",
                   "request_ms",
                   (json_int_t) (s->request
                                     ? r->node->now_ms - s->request->started_ms
                                     : 0)));
    }
}

static json_int_t
count_keys (const SsConfig *c, const SsOrganisation *o)
{
  GHashTableIter iter;
  gpointer holder;
  json_int_t count = 0;

  g_hash_table_iter_init (&iter, c->keys);
  while (g_hash_table_iter_next (&iter, NULL, &holder))
    count += holder == o ? 1 : 0;
  return count;
}

static gboolean
add_organisation (gpointer key, gpointer value, gpointer data)
{
  RowsContext *r = data;
  const SsOrganisation *o = value;

  (void) key;
  add_row (r, json_pack ("{s:s, s:I, s:I, s:I}", "name", o->name, "rate_per_s",
                         o->is_limited ? (json_int_t) o->rate_per_s : -1,
                         "burst", o->is_limited ? (json_int_t) o->burst : -1,
                         "keys", count_keys (&r->node->config, o)));
  return FALSE;
}

/* Replaces the lists of keys of ORGANISATION by their lengths: a digest lets
 * its reader test guesses of the key.
 */
static void
hide_keys (json_t *organisation)
{
  static const char *const lists[] = { "key_digests", "key_verifiers" };

  for (size_t i = 0; i < G_N_ELEMENTS (lists); i++)
    {
      json_t *list = json_object_get (organisation, lists[i]);
      size_t count = json_array_size (list) + json_object_size (list);

      if (list)
        json_object_set_new (organisation, lists[i],
                             json_integer ((json_int_t) count));
    }
}

char *
ss_tables_shown_value (const char *value, gsize bytes)
{
  json_t *json = json_loadb (value, bytes, 0, NULL);
  json_t *organisation;
  const char *name;
  char *shown;

  hide_keys (json);
  json_object_foreach (json_object_get (json, "organisations"), name,
                       organisation)
  {
    hide_keys (organisation);
  }
  shown = json_dumps (json, JSON_COMPACT);
  json_decref (json);
  return shown;
}

static gboolean
add_object (gpointer key, gpointer value, gpointer data)
{
  const SsStoredObject *o = value;
  gsize bytes;
  const char *stored = g_bytes_get_data (o->value, &bytes);
  char *text = ss_tables_shown_value (stored, bytes);

  add_row (data,
           json_pack ("{s:s, s:I, s:I, s:I, s:s}", "key", (const char *) key,
                      "version", (json_int_t) ss_version_revision (o->version),
                      "era", (json_int_t) ss_version_era (o->version),
                      "sequence", (json_int_t) o->sequence, "value",
                      text ? text : ""));
  free (text);
  return FALSE;
}

static void
add_counters (RowsContext *r)
{
  for (uint32_t i = 0; i < SS_COUNTER_COUNT; i++)
    add_row (r, json_pack ("{s:s, s:s, s:I}", "vm", r->node->params.vm, "name",
                           ss_counter_name ((SsCounterId) i), "value",
                           (json_int_t) r->node->counters.values[i]));
}

json_t *
ss_tables_rows (SsNode *node, SsTable table)
{
  RowsContext r = { node, json_array () };

  switch (table)
    {
    case SS_TABLE_SERVICES:
      g_tree_foreach (node->config.services, add_service, &r);
      break;
    case SS_TABLE_TARGETS:
      g_tree_foreach (node->config.targets, add_owned_target, &r);
      break;
    case SS_TABLE_GROUPS:
      g_tree_foreach (node->config.groups, add_group, &r);
      break;
    case SS_TABLE_VMS:
      add_vm (&r);
      break;
    case SS_TABLE_SESSIONS:
      add_sessions (&r);
      break;
    case SS_TABLE_ORGANISATIONS:
      if (node->config.organisations)
        g_tree_foreach (node->config.organisations, add_organisation, &r);
      break;
    case SS_TABLE_CONFIG:
      g_tree_foreach (node->config.objects, add_object, &r);
      break;
    case SS_TABLE_COUNTERS:
    default:
      add_counters (&r);
      break;
    }
  return r.rows;
}

bool
ss_tables_is_per_vm (SsTable table)
{
  return table == SS_TABLE_TARGETS || table == SS_TABLE_VMS
         || table == SS_TABLE_SESSIONS || table == SS_TABLE_COUNTERS;
}
