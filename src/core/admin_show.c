/* admin_show: the "show" command; collects a table's rows from all VMs. */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "core/operation.h"
#include "core/version.h"
#include "core/tables.h"

/* VMs that do not answer within this time are listed in silent_vms. */
#define ROWS_TIMEOUT_MS 600

void
ss_admin_show_end (SsNode *node, SsOperation *o)
{
  json_t *body;
  json_t *silent;
  GHashTableIter iter;
  gpointer vm;
  char *error = ss_command_select (&o->command, o->rows);

  if (error)
    {
      ss_operation_end (node, o, SS_VERDICT_NOT_RUN, error, 0);
      g_free (error);
      return;
    }
  silent = json_array ();
  g_hash_table_iter_init (&iter, o->silent);
  while (g_hash_table_iter_next (&iter, &vm, NULL))
    json_array_append_new (silent, json_string (vm));
  body = json_pack ("{s:O, s:o, s:I}", "rows", o->rows, "silent_vms", silent,
                    "revision",
                    (json_int_t) ss_version_revision (node->config.revision));
  ss_operation_reply (node, o->id, SS_VERDICT_RAN, body);
  g_hash_table_remove (node->operations, &o->call);
}

typedef struct
{
  SsNode *node;
  SsOperation *operation;
} RowsRequest;

static gboolean
request_rows (gpointer key, gpointer value, gpointer data)
{
  RowsRequest *request = data;
  const SsMember *m = value;
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__RowsAsk ask = SS__PEER__ROWS_ASK__INIT;

  if (strcmp (key, request->node->params.vm) == 0 || (!m->live && !m->listed))
    return FALSE;
  g_hash_table_add (request->operation->silent, g_strdup (key));
  ask.call = request->operation->call;
  ask.table = (char *) ss_table_name (request->operation->command.table);
  e.body_case = SS__PEER__ENVELOPE__BODY_ROWS_ASK;
  e.rows_ask = &ask;
  ss_node_send (request->node, key, &e);
  return FALSE;
}

void
ss_admin_show (SsNode *node, uint64_t id, SsCommand *command)
{
  SsOperation *o = ss_operation_new (node, id, SS_OPERATION_SHOW, command,
                                     ROWS_TIMEOUT_MS);
  RowsRequest request = { node, o };

  json_decref (o->rows);
  o->rows = ss_tables_rows (node, o->command.table);
  if (ss_tables_is_per_vm (o->command.table))
    g_tree_foreach (node->members.by_name, request_rows, &request);
  if (g_hash_table_size (o->silent) == 0)
    ss_admin_show_end (node, o);
}

void
ss_admin_show_handle_rows_ask (SsNode *node, const char *from,
                               const Ss__Peer__RowsAsk *request)
{
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__RowsReply reply = SS__PEER__ROWS_REPLY__INIT;
  SsTable table;
  json_t *rows;
  char *text;

  if (!ss_table_find (request->table, &table))
    return;
  rows = ss_tables_rows (node, table);
  text = json_dumps (rows, JSON_COMPACT);
  reply.call = request->call;
  reply.rows.data = (uint8_t *) text;
  reply.rows.len = strlen (text);
  e.body_case = SS__PEER__ENVELOPE__BODY_ROWS_REPLY;
  e.rows_reply = &reply;
  ss_node_send (node, from, &e);
  free (text);
  json_decref (rows);
}

void
ss_admin_show_handle_rows_reply (SsNode *node, const char *from,
                                 const Ss__Peer__RowsReply *reply)
{
  SsOperation *o = ss_operation_find (node, reply->call);
  json_t *rows;

  if (!o || o->kind != SS_OPERATION_SHOW
      || !g_hash_table_remove (o->silent, from))
    return;
  rows = json_loadb ((const char *) reply->rows.data, reply->rows.len, 0, NULL);
  if (json_is_array (rows))
    json_array_extend (o->rows, rows);
  json_decref (rows);
  if (g_hash_table_size (o->silent) == 0)
    ss_admin_show_end (node, o);
}
