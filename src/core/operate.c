#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "core/command.h"
#include "core/internal.h"
#include "core/tables.h"

#define ROWS_BOUND_MS 600
#define STOP_BOUND_MS 1000
#define UPDATE_BOUND_MS 4000
#define READ_AGAIN_MS 200

typedef enum
{
  OPERATION_ROWS,
  OPERATION_UPDATE,      /* the platform was asked to update */
  OPERATION_UPDATE_READ, /* its answer was lost: the object is read back */
  OPERATION_PROMOTE,
  OPERATION_STOP
} OperationKind;

typedef struct
{
  uint64_t call;
  uint64_t id; /* of the operator's request */
  OperationKind kind;
  SsCommand command;
  json_t *rows;
  GHashTable *silent; /* vms that did not answer yet */
  char *key;
  char *json;
  char operation[96];
  int64_t version; /* on which the update is based */
  int64_t due_ms;
  int64_t asked_ms;
} SsOperation;

static void
operation_free (gpointer data)
{
  SsOperation *o = data;

  ss_command_finish (&o->command);
  json_decref (o->rows);
  g_hash_table_destroy (o->silent);
  g_free (o->key);
  g_free (o->json);
  g_free (o);
}

void
ss_operate_init (SsNode *node)
{
  node->operations = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                            operation_free);
}

void
ss_operate_finish (SsNode *node)
{
  g_hash_table_destroy (node->operations);
}

static SsOperation *
find_operation (SsNode *node, uint64_t call)
{
  return g_hash_table_lookup (node->operations, &call);
}

/* --- replies --- */

static void
push_reply (SsNode *node, uint64_t id, SsVerdict verdict, json_t *body)
{
  SsAction *a = ss_node_push (node, SS_ACTION_OPERATOR_REPLY);
  char *text;

  json_object_set_new (body, "verdict",
                       json_string (ss_verdict_name (verdict)));
  json_object_set_new (body, "vm", json_string (node->params.vm));
  text = json_dumps (body, JSON_COMPACT);
  a->id = id;
  a->verdict = verdict;
  a->text = g_strdup (text);
  free (text);
  json_decref (body);
}

static void
reply_message (SsNode *node, uint64_t id, SsVerdict verdict,
               const char *message, int64_t version)
{
  json_t *body = json_pack ("{s:s}", "message", message);

  if (version)
    json_object_set_new (body, "version", json_integer (version));
  push_reply (node, id, verdict, body);
}

static void
end_operation (SsNode *node, SsOperation *o, SsVerdict verdict,
               const char *message, int64_t version)
{
  reply_message (node, o->id, verdict, message, version);
  g_hash_table_remove (node->operations, &o->call);
}

static SsOperation *
new_operation (SsNode *node, uint64_t id, OperationKind kind,
               SsCommand *command, int64_t bound_ms)
{
  SsOperation *o = g_new0 (SsOperation, 1);

  o->call = ++node->next_call;
  o->id = id;
  o->kind = kind;
  o->command = *command;
  memset (command, 0, sizeof *command);
  o->rows = json_array ();
  o->silent = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  o->due_ms = node->now_ms + bound_ms;
  g_hash_table_insert (node->operations, &o->call, o);
  return o;
}

/* --- show --- */

static void
end_rows (SsNode *node, SsOperation *o)
{
  json_t *body;
  json_t *silent;
  GHashTableIter iter;
  gpointer vm;
  char *error = ss_command_select (&o->command, o->rows);

  if (error)
    {
      end_operation (node, o, SS_VERDICT_NOT_RUN, error, 0);
      g_free (error);
      return;
    }
  silent = json_array ();
  g_hash_table_iter_init (&iter, o->silent);
  while (g_hash_table_iter_next (&iter, &vm, NULL))
    json_array_append_new (silent, json_string (vm));
  body = json_pack ("{s:O, s:o, s:I}", "rows", o->rows, "silent_vms", silent,
                    "revision", (json_int_t) node->config.revision);
  push_reply (node, o->id, SS_VERDICT_RAN, body);
  g_hash_table_remove (node->operations, &o->call);
}

typedef struct
{
  SsNode *node;
  SsOperation *operation;
} Ask;

static gboolean
ask_one (gpointer key, gpointer value, gpointer data)
{
  Ask *ask = data;
  const SsMember *m = value;
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__RowsAsk rows = SS__PEER__ROWS_ASK__INIT;

  if (strcmp (key, ask->node->params.vm) == 0 || (!m->live && !m->listed))
    return FALSE;
  g_hash_table_add (ask->operation->silent, g_strdup (key));
  rows.call = ask->operation->call;
  rows.table = (char *) ss_table_name (ask->operation->command.table);
  e.body_case = SS__PEER__ENVELOPE__BODY_ROWS_ASK;
  e.rows_ask = &rows;
  ss_node_send (ask->node, key, &e);
  return FALSE;
}

static void
show (SsNode *node, uint64_t id, SsCommand *command)
{
  SsOperation *o
      = new_operation (node, id, OPERATION_ROWS, command, ROWS_BOUND_MS);
  Ask ask = { node, o };

  json_decref (o->rows);
  o->rows = ss_tables_rows (node, o->command.table);
  if (ss_tables_is_shared (o->command.table))
    g_tree_foreach (node->members.by_name, ask_one, &ask);
  if (g_hash_table_size (o->silent) == 0)
    end_rows (node, o);
}

void
ss_operate_rows_ask (SsNode *node, const char *from,
                     const Ss__Peer__RowsAsk *ask)
{
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__RowsReply reply = SS__PEER__ROWS_REPLY__INIT;
  SsTable table;
  json_t *rows;
  char *text;

  if (!ss_table_find (ask->table, &table))
    return;
  rows = ss_tables_rows (node, table);
  text = json_dumps (rows, JSON_COMPACT);
  reply.call = ask->call;
  reply.rows.data = (uint8_t *) text;
  reply.rows.len = strlen (text);
  e.body_case = SS__PEER__ENVELOPE__BODY_ROWS_REPLY;
  e.rows_reply = &reply;
  ss_node_send (node, from, &e);
  free (text);
  json_decref (rows);
}

void
ss_operate_rows_reply (SsNode *node, const char *from,
                       const Ss__Peer__RowsReply *reply)
{
  SsOperation *o = find_operation (node, reply->call);
  json_t *rows;

  if (!o || o->kind != OPERATION_ROWS || !g_hash_table_remove (o->silent, from))
    return;
  rows = json_loadb ((const char *) reply->rows.data, reply->rows.len, 0, NULL);
  if (json_is_array (rows))
    json_array_extend (o->rows, rows);
  json_decref (rows);
  if (g_hash_table_size (o->silent) == 0)
    end_rows (node, o);
}

/* --- updates of the configuration --- */

static void
put_update (SsNode *node, SsOperation *o)
{
  SsAction *a = ss_node_push (node, SS_ACTION_PLATFORM_PUT);

  a->id = o->call;
  a->name = g_strdup (o->key);
  a->text = g_strdup (o->json);
  a->number = o->version;
}

static void
get_update (SsNode *node, SsOperation *o)
{
  SsAction *a = ss_node_push (node, SS_ACTION_PLATFORM_GET);

  o->asked_ms = node->now_ms;
  a->id = o->call;
  a->name = g_strdup (o->key);
}

/* The object under KEY as JSON, or NULL. */
static json_t *
load_object (SsNode *node, const char *key, int64_t *version)
{
  const SsStoredObject *o = ss_config_object (&node->config, key);
  gsize bytes;
  const char *text;

  if (!o)
    return NULL;
  *version = o->version;
  text = g_bytes_get_data (o->value, &bytes);
  return json_loadb (text, bytes, 0, NULL);
}

/* Sends JSON (taken) as the new value of KEY, if it would be adopted. */
static void
update (SsNode *node, uint64_t id, SsCommand *command, const char *key,
        int64_t version, json_t *json)
{
  char operation[96];
  char *text;
  char *error;
  SsOperation *o;

  g_snprintf (operation, sizeof operation, "%s-%" G_GUINT64_FORMAT "-%08x",
              node->params.vm, ++node->next_operation, g_rand_int (node->rand));
  json_object_set_new (json, "operation", json_string (operation));
  text = json_dumps (json, JSON_COMPACT);
  json_decref (json);
  error = ss_config_check (key, text, (uint32_t) strlen (text));
  if (error)
    {
      reply_message (node, id, SS_VERDICT_NOT_RUN, error, 0);
      g_free (error);
      free (text);
      return;
    }
  o = new_operation (node, id, OPERATION_UPDATE, command, UPDATE_BOUND_MS);
  g_strlcpy (o->operation, operation, sizeof o->operation);
  o->key = g_strdup (key);
  o->json = g_strdup (text);
  o->version = version;
  free (text);
  put_update (node, o);
}

static void
mark_target (SsNode *node, uint64_t id, SsCommand *command, bool draining)
{
  char *key = g_strdup_printf ("target/%s", command->name);
  int64_t version = 0;
  json_t *json = load_object (node, key, &version);

  if (!json)
    reply_message (node, id, SS_VERDICT_NOT_RUN, "no such target", 0);
  else
    {
      json_object_set_new (json, "draining", json_boolean (draining));
      update (node, id, command, key, version, json);
    }
  g_free (key);
}

/* Sets "kind.KIND.staleness_ms" or a plain member. */
static char *
set_member (json_t *json, const char *key, json_t *value)
{
  char **parts = g_strsplit (key, ".", 3);
  json_t *kinds;
  json_t *kind;
  char *error = NULL;

  if (g_strv_length (parts) == 1)
    json_object_set (json, key, value);
  else if (g_strv_length (parts) == 3 && strcmp (parts[0], "kind") == 0)
    {
      kinds = json_object_get (json, "kinds");
      if (!kinds)
        {
          kinds = json_object ();
          json_object_set_new (json, "kinds", kinds);
        }
      kind = json_object_get (kinds, parts[1]);
      if (!kind)
        {
          kind = json_object ();
          json_object_set_new (kinds, parts[1], kind);
        }
      json_object_set (kind, parts[2], value);
    }
  else
    error = g_strdup_printf ("no such key: %s", key);
  g_strfreev (parts);
  return error;
}

static void
set_service (SsNode *node, uint64_t id, SsCommand *command)
{
  char *key = g_strdup_printf ("service/%s", command->name);
  int64_t version = 0;
  json_t *json = load_object (node, key, &version);
  char *error;

  if (!json)
    {
      reply_message (node, id, SS_VERDICT_NOT_RUN, "no such service", 0);
      g_free (key);
      return;
    }
  error = set_member (json, command->key, command->value);
  if (error)
    {
      reply_message (node, id, SS_VERDICT_NOT_RUN, error, 0);
      json_decref (json);
    }
  else
    update (node, id, command, key, version, json);
  g_free (error);
  g_free (key);
}

static bool
is_ours (const SsOperation *o, const SsObject *object)
{
  json_t *json = json_loadb (object->value, object->value_bytes, 0, NULL);
  const char *operation
      = json_string_value (json_object_get (json, "operation"));
  bool ours = operation && strcmp (operation, o->operation) == 0;

  json_decref (json);
  return ours;
}

static void
end_update (SsNode *node, SsOperation *o, const SsObject *object)
{
  char *message;

  ss_adopt_one (node, object);
  if (is_ours (o, object))
    {
      end_operation (node, o, SS_VERDICT_RAN, "accepted", object->version);
      return;
    }
  if (object->version == o->version)
    {
      /* It may still be under way to the platform. */
      end_operation (node, o, SS_VERDICT_MAY_HAVE_RUN,
                     "the platform does not show the change", o->version);
      return;
    }
  message = g_strdup_printf ("conflict: version %" G_GINT64_FORMAT " won: %.*s",
                             object->version, (int) object->value_bytes,
                             object->value);
  end_operation (node, o, SS_VERDICT_NOT_RUN, message, object->version);
  g_free (message);
}

void
ss_operate_object (SsNode *node, uint64_t call, SsPlatformOutcome outcome,
                   const SsObject *object)
{
  SsOperation *o = find_operation (node, call);

  if (!o || !o->key)
    return;
  if (outcome == SS_PLATFORM_DONE || outcome == SS_PLATFORM_CONFLICT)
    end_update (node, o, object);
  else if (o->kind == OPERATION_UPDATE && outcome == SS_PLATFORM_REFUSED)
    end_operation (node, o, SS_VERDICT_NOT_RUN, "the platform does not answer",
                   0);
  else
    {
      o->kind = OPERATION_UPDATE_READ;
      o->asked_ms = node->now_ms;
    }
}

/* --- stop and promote --- */

static void
stop_vm (SsNode *node, uint64_t id, SsCommand *command)
{
  const SsMember *m = ss_members_find (&node->members, command->name);
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__StopAsk ask = SS__PEER__STOP_ASK__INIT;
  SsOperation *o;

  if (!m || !m->live)
    {
      reply_message (node, id, SS_VERDICT_NOT_RUN, "no such live vm", 0);
      return;
    }
  o = new_operation (node, id, OPERATION_STOP, command, STOP_BOUND_MS);
  ask.call = o->call;
  e.body_case = SS__PEER__ENVELOPE__BODY_STOP_ASK;
  e.stop_ask = &ask;
  ss_node_send (node, m->vm, &e);
}

void
ss_operate_stop_ask (SsNode *node, const char *from,
                     const Ss__Peer__StopAsk *ask)
{
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__StopReply reply = SS__PEER__STOP_REPLY__INIT;

  ss_node_begin_stop (node);
  reply.call = ask->call;
  e.body_case = SS__PEER__ENVELOPE__BODY_STOP_REPLY;
  e.stop_reply = &reply;
  ss_node_send (node, from, &e);
}

void
ss_operate_stop_reply (SsNode *node, const Ss__Peer__StopReply *reply)
{
  SsOperation *o = find_operation (node, reply->call);

  if (o && o->kind == OPERATION_STOP)
    end_operation (node, o, SS_VERDICT_RAN, "the vm is stopping", 0);
}

/* The order was meant for a state that is no longer in force. */
static void
reply_other_term (SsNode *node, uint64_t id, const SsCommand *command,
                  const SsGroup *group)
{
  char *message = g_strdup_printf (
      "term %" G_GUINT64_FORMAT
      " is not in force; in force: term %" G_GUINT64_FORMAT ", primary %s",
      command->if_term, group->term,
      *group->primary ? group->primary : "(none)");

  reply_message (node, id, SS_VERDICT_NOT_RUN, message, group->version);
  g_free (message);
}

static void
promote (SsNode *node, uint64_t id, SsCommand *command)
{
  const SsGroup *group = ss_config_group (&node->config, command->name);
  const SsTarget *to
      = command->to ? ss_config_target (&node->config, command->to) : NULL;
  SsOperation *o;

  if (!group)
    reply_message (node, id, SS_VERDICT_NOT_RUN, "no such group", 0);
  else if (command->to && (!to || strcmp (to->group, group->name) != 0))
    reply_message (node, id, SS_VERDICT_NOT_RUN, "no such server in this group",
                   0);
  else if (command->if_term && command->if_term != group->term)
    reply_other_term (node, id, command, group);
  else if (to && strcmp (to->name, group->primary) == 0)
    reply_message (node, id, SS_VERDICT_NOT_RUN,
                   "this server is the primary already", group->version);
  else
    {
      o = new_operation (node, id, OPERATION_PROMOTE, command, INT32_MAX);
      ss_promote_order (node, group->name, o->command.to, o->call);
    }
}

void
ss_operate_promoted (SsNode *node, uint64_t call, SsVerdict verdict,
                     const char *message, int64_t version)
{
  SsOperation *o = find_operation (node, call);

  if (o)
    end_operation (node, o, verdict, message, version);
}

/* --- commands --- */

static void
run_command (SsNode *node, uint64_t id, SsCommand *command)
{
  switch (command->kind)
    {
    case SS_COMMAND_SHOW:
      show (node, id, command);
      break;
    case SS_COMMAND_DRAIN:
    case SS_COMMAND_UNDRAIN:
      mark_target (node, id, command, command->kind == SS_COMMAND_DRAIN);
      break;
    case SS_COMMAND_STOP:
      stop_vm (node, id, command);
      break;
    case SS_COMMAND_PROMOTE:
      promote (node, id, command);
      break;
    case SS_COMMAND_SET:
      set_service (node, id, command);
      break;
    case SS_COMMAND_HELP:
    default:
      reply_message (node, id, SS_VERDICT_RAN, ss_command_help, 0);
      break;
    }
}

void
ss_operate_command (SsNode *node, uint64_t id, const char *text,
                    bool may_change)
{
  SsCommand command;
  char *error = ss_command_init (&command, text);

  if (error)
    reply_message (node, id, SS_VERDICT_NOT_RUN, error, 0);
  else if (!may_change && command.kind != SS_COMMAND_SHOW
           && command.kind != SS_COMMAND_HELP)
    reply_message (node, id, SS_VERDICT_NOT_RUN,
                   "changes need the bearer token", 0);
  else
    run_command (node, id, &command);
  ss_command_finish (&command);
  g_free (error);
}

static void
tick_operation (SsNode *node, SsOperation *o)
{
  if (o->kind == OPERATION_UPDATE_READ
      && node->now_ms - o->asked_ms >= READ_AGAIN_MS)
    get_update (node, o);
  if (node->now_ms < o->due_ms)
    return;
  if (o->kind == OPERATION_ROWS)
    end_rows (node, o);
  else
    end_operation (node, o, SS_VERDICT_MAY_HAVE_RUN,
                   o->kind == OPERATION_STOP ? "the vm did not answer"
                                             : "the platform did not answer",
                   0);
}

void
ss_operate_tick (SsNode *node)
{
  GList *calls;

  if (g_hash_table_size (node->operations) == 0)
    return;
  calls = g_hash_table_get_values (node->operations);
  for (GList *l = calls; l; l = l->next)
    tick_operation (node, l->data);
  g_list_free (calls);
}
