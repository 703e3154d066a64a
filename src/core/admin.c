/* admin: runs operator commands and answers them.
 *
 * A configuration update is a conditional write to the platform.  If its
 * outcome is unknown, the object is read back: the operation id stored in it
 * tells whether this write took effect.
 */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "core/config_store.h"
#include "core/operation.h"
#include "core/tables.h"
#include "core/version.h"

#define STOP_TIMEOUT_MS 1000
#define UPDATE_TIMEOUT_MS 4000
#define READ_RETRY_MS 200

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
ss_admin_init (SsNode *node)
{
  node->operations = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                            operation_free);
}

void
ss_admin_finish (SsNode *node)
{
  g_hash_table_destroy (node->operations);
}

SsOperation *
ss_operation_find (SsNode *node, uint64_t call)
{
  return g_hash_table_lookup (node->operations, &call);
}

/* --- replies --- */

void
ss_operation_reply (SsNode *node, uint64_t id, SsVerdict verdict, json_t *body)
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
    json_object_set_new (body, "version",
                         json_integer (ss_version_revision (version)));
  ss_operation_reply (node, id, verdict, body);
}

void
ss_operation_end (SsNode *node, SsOperation *o, SsVerdict verdict,
                  const char *message, int64_t version)
{
  reply_message (node, o->id, verdict, message, version);
  g_hash_table_remove (node->operations, &o->call);
}

SsOperation *
ss_operation_new (SsNode *node, uint64_t id, SsOperationKind kind,
                  SsCommand *command, int64_t timeout_ms)
{
  SsOperation *o = g_new0 (SsOperation, 1);

  o->call = ++node->next_call;
  o->id = id;
  o->kind = kind;
  o->command = *command;
  memset (command, 0, sizeof *command);
  o->rows = json_array ();
  o->silent = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  o->due_ms = node->now_ms + timeout_ms;
  g_hash_table_insert (node->operations, &o->call, o);
  return o;
}

/* --- updates of the configuration --- */

static void
write_object (SsNode *node, SsOperation *o)
{
  ss_platform_put (node, o->call, o->key, o->json, o->version);
}

static void
read_object (SsNode *node, SsOperation *o)
{
  o->asked_ms = node->now_ms;
  ss_platform_get (node, o->call, o->key);
}

/* Returns the object under KEY as JSON, or NULL; sets *VERSION. */
static json_t *
load_object (SsNode *node, const char *key, int64_t *version)
{
  const SsStoredObject *o = ss_config_object (&node->config, key);
  gsize bytes;
  const char *text;

  if (!o)
    return NULL;
  *version = ss_config_expected_version (&node->config, key);
  text = g_bytes_get_data (o->value, &bytes);
  return json_loadb (text, bytes, 0, NULL);
}

/* Writes JSON as the new value of KEY if it is valid and the stored version is
 * VERSION.  Takes over the reference to JSON.
 */
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
  o = ss_operation_new (node, id, SS_OPERATION_UPDATE, command,
                        UPDATE_TIMEOUT_MS);
  g_strlcpy (o->operation, operation, sizeof o->operation);
  o->key = g_strdup (key);
  o->json = g_strdup (text);
  o->version = version;
  free (text);
  write_object (node, o);
}

static void
set_draining (SsNode *node, uint64_t id, SsCommand *command, bool draining)
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

/* Sets "kind.KIND.FIELD" or a top-level member.  Returns NULL or an error
 * message that the caller frees.
 */
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

/* Adds or removes a key in JSON, the object of an organisation.  Returns NULL
 * or a static error message.
 */
static const char *
change_key (json_t *json, const SsCommand *command)
{
  json_t *verifiers = json_object_get (json, "key_verifiers");
  bool is_known = json_object_get (verifiers, command->key) != NULL;

  if (command->kind == SS_COMMAND_REMOVE_KEY)
    {
      json_object_del (verifiers, command->key);
      return is_known ? NULL : "the organisation has no such key";
    }
  if (is_known)
    return "the organisation has a key of this name; add one of another name";
  json_object_set (verifiers, command->key, command->value);
  return NULL;
}

static void
update_key (SsNode *node, uint64_t id, SsCommand *command)
{
  char *key = g_strdup_printf ("organisation/%s", command->name);
  int64_t version = 0;
  json_t *json = load_object (node, key, &version);
  const char *error
      = json ? change_key (json, command) : "no such organisation object";

  if (error)
    {
      reply_message (node, id, SS_VERDICT_NOT_RUN, error, 0);
      json_decref (json);
    }
  else
    update (node, id, command, key, version, json);
  g_free (key);
}

static bool
is_own_write (const SsOperation *o, const SsObject *object)
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
  char *shown;

  ss_config_sync_publish (node, object);
  if (is_own_write (o, object))
    {
      ss_operation_end (node, o, SS_VERDICT_RAN, "accepted", object->version);
      return;
    }
  if (object->version == o->version)
    {
      /* The write may still reach the platform. */
      ss_operation_end (node, o, SS_VERDICT_MAY_HAVE_RUN,
                        "the platform does not show the change", o->version);
      return;
    }
  shown = ss_tables_shown_value (object->value, object->value_bytes);
  message = g_strdup_printf ("conflict: version %" G_GINT64_FORMAT " won: %s",
                             ss_version_revision (object->version),
                             shown ? shown : "");
  free (shown);
  ss_operation_end (node, o, SS_VERDICT_NOT_RUN, message, object->version);
  g_free (message);
}

void
ss_admin_handle_object (SsNode *node, uint64_t call, SsPlatformOutcome outcome,
                        const SsObject *object)
{
  SsOperation *o = ss_operation_find (node, call);

  if (!o || !o->key)
    return;
  if (outcome == SS_PLATFORM_DONE || outcome == SS_PLATFORM_CONFLICT)
    end_update (node, o, object);
  else if (o->kind == SS_OPERATION_UPDATE && outcome == SS_PLATFORM_REFUSED)
    ss_operation_end (node, o, SS_VERDICT_NOT_RUN,
                      "the platform refused the write or was not reached", 0);
  else
    {
      o->kind = SS_OPERATION_UPDATE_READ;
      o->asked_ms = node->now_ms;
    }
}

/* --- stop and promote --- */

static void
stop_vm (SsNode *node, uint64_t id, SsCommand *command)
{
  const SsMember *m = ss_members_find (&node->members, command->name);
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__StopAsk request = SS__PEER__STOP_ASK__INIT;
  SsOperation *o;

  if (!m || !m->live)
    {
      reply_message (node, id, SS_VERDICT_NOT_RUN, "no such live vm", 0);
      return;
    }
  o = ss_operation_new (node, id, SS_OPERATION_STOP, command, STOP_TIMEOUT_MS);
  request.call = o->call;
  e.body_case = SS__PEER__ENVELOPE__BODY_STOP_ASK;
  e.stop_ask = &request;
  ss_node_send (node, m->vm, &e);
}

void
ss_admin_handle_stop_ask (SsNode *node, const char *from,
                          const Ss__Peer__StopAsk *request)
{
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__StopReply reply = SS__PEER__STOP_REPLY__INIT;

  ss_node_begin_shutdown (node);
  reply.call = request->call;
  e.body_case = SS__PEER__ENVELOPE__BODY_STOP_REPLY;
  e.stop_reply = &reply;
  ss_node_send (node, from, &e);
}

void
ss_admin_handle_stop_reply (SsNode *node, const Ss__Peer__StopReply *reply)
{
  SsOperation *o = ss_operation_find (node, reply->call);

  if (o && o->kind == SS_OPERATION_STOP)
    ss_operation_end (node, o, SS_VERDICT_RAN, "the vm is stopping", 0);
}

/* Refuses a promotion whose "if term" is not the current term. */
static void
refuse_stale_term (SsNode *node, uint64_t id, const SsCommand *command,
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
    refuse_stale_term (node, id, command, group);
  else if (to && strcmp (to->name, group->primary) == 0)
    reply_message (node, id, SS_VERDICT_NOT_RUN,
                   "this server is already the primary", group->version);
  else
    {
      o = ss_operation_new (node, id, SS_OPERATION_PROMOTE, command, INT32_MAX);
      ss_promote_request (node, group->name, o->command.to, o->call);
    }
}

void
ss_admin_handle_promotion (SsNode *node, uint64_t call, SsVerdict verdict,
                           const char *message, int64_t version)
{
  SsOperation *o = ss_operation_find (node, call);

  if (o)
    ss_operation_end (node, o, verdict, message, version);
}

/* --- commands --- */

static void
run_command (SsNode *node, uint64_t id, SsCommand *command)
{
  switch (command->kind)
    {
    case SS_COMMAND_SHOW:
      ss_admin_show (node, id, command);
      break;
    case SS_COMMAND_DRAIN:
    case SS_COMMAND_UNDRAIN:
      set_draining (node, id, command, command->kind == SS_COMMAND_DRAIN);
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
    case SS_COMMAND_ADD_KEY:
    case SS_COMMAND_REMOVE_KEY:
      update_key (node, id, command);
      break;
    case SS_COMMAND_HELP:
    default:
      reply_message (node, id, SS_VERDICT_RAN, ss_command_help, 0);
      break;
    }
}

void
ss_admin_handle_command (SsNode *node, uint64_t id, const char *text,
                         bool may_change)
{
  SsCommand command;
  char *error = ss_command_init (&command, text);

  if (error)
    reply_message (node, id, SS_VERDICT_NOT_RUN, error, 0);
  else if (!may_change && command.kind != SS_COMMAND_SHOW
           && command.kind != SS_COMMAND_HELP)
    reply_message (node, id, SS_VERDICT_NOT_RUN,
                   "changes require the bearer token", 0);
  else
    run_command (node, id, &command);
  ss_command_finish (&command);
  g_free (error);
}

static void
tick_operation (SsNode *node, SsOperation *o)
{
  if (o->kind == SS_OPERATION_UPDATE_READ
      && node->now_ms - o->asked_ms >= READ_RETRY_MS)
    read_object (node, o);
  if (node->now_ms < o->due_ms)
    return;
  if (o->kind == SS_OPERATION_SHOW)
    ss_admin_show_end (node, o);
  else
    ss_operation_end (node, o, SS_VERDICT_MAY_HAVE_RUN,
                      o->kind == SS_OPERATION_STOP
                          ? "the vm did not answer"
                          : "the platform did not answer",
                      0);
}

void
ss_admin_tick (SsNode *node)
{
  GList *operations;

  if (g_hash_table_size (node->operations) == 0)
    return;
  operations = g_hash_table_get_values (node->operations);
  for (GList *l = operations; l; l = l->next)
    tick_operation (node, l->data);
  g_list_free (operations);
}
