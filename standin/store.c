#include "standin/store.h"

#include <stdlib.h>
#include <string.h>

#define FIELD_SEPARATOR "\x1f"
#define OP_SEPARATOR "\x1e"

void
ss_op_free (gpointer data)
{
  SsOp *op = data;

  g_free (op->table);
  g_free (op->key);
  g_free (op->value);
  g_free (op);
}

char *
ss_ops_encode (const GPtrArray *ops)
{
  GString *out = g_string_new (NULL);

  for (guint i = 0; i < ops->len; i++)
    {
      const SsOp *op = g_ptr_array_index (ops, i);

      g_string_append_printf (
          out,
          "%s%c" FIELD_SEPARATOR "%s" FIELD_SEPARATOR "%s" FIELD_SEPARATOR "%s",
          i ? OP_SEPARATOR : "", op->kind == SS_OP_INSERT ? 'i' : 'u',
          op->table, op->key, op->value);
    }
  return g_string_free (out, FALSE);
}

static void
clear_entry (gpointer data)
{
  g_free (((SsLogEntry *) data)->payload);
}

static void
values_free (gpointer data)
{
  g_ptr_array_free (data, TRUE);
}

static GHashTable *
table_for_write (SsStore *s, const char *name)
{
  GHashTable *table = g_hash_table_lookup (s->tables, name);

  if (table)
    return table;
  table = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, values_free);
  g_hash_table_insert (s->tables, g_strdup (name), table);
  return table;
}

static void
apply_op (SsStore *s, char **fields)
{
  GHashTable *table = table_for_write (s, fields[1]);
  GPtrArray *values = g_hash_table_lookup (table, fields[2]);

  if (fields[0][0] == 'i')
    {
      if (!values)
        {
          values = g_ptr_array_new_with_free_func (g_free);
          g_hash_table_insert (table, g_strdup (fields[2]), values);
        }
      g_ptr_array_add (values, g_strdup (fields[3]));
      return;
    }
  for (guint i = 0; values && i < values->len; i++)
    {
      g_free (values->pdata[i]);
      values->pdata[i] = g_strdup (fields[3]);
    }
}

static void
apply_payload (SsStore *s, const char *payload)
{
  char **ops = g_strsplit (payload, OP_SEPARATOR, -1);

  for (uint32_t i = 0; ops[i]; i++)
    {
      char **fields = g_strsplit (ops[i], FIELD_SEPARATOR, 4);

      if (g_strv_length (fields) == 4)
        apply_op (s, fields);
      g_strfreev (fields);
    }
  g_strfreev (ops);
}

static void
add_entry (SsStore *s, uint64_t term, const char *payload, int64_t now_ms)
{
  SsLogEntry e = { term, now_ms, g_strdup (payload) };

  g_array_append_val (s->entries, e);
}

/* The file has one line for each change: "eTERM PAYLOAD" appends an entry,
 * "tCOUNT" truncates the log to COUNT entries.  A last line without a newline
 * is incomplete and is ignored.
 */
static void
load_file (SsStore *s, const char *path)
{
  char *text = NULL;
  char **lines;

  if (!g_file_get_contents (path, &text, NULL, NULL))
    return;
  lines = g_strsplit (text, "\n", -1);
  for (uint32_t i = 0; lines[i] && lines[i + 1]; i++)
    {
      char *payload;
      uint64_t number = strtoull (lines[i] + 1, &payload, 10);

      if (lines[i][0] == 't')
        g_array_set_size (s->entries, (guint) number);
      else if (lines[i][0] == 'e')
        add_entry (s, number, payload + 1, 0);
    }
  g_strfreev (lines);
  g_free (text);
}

void
ss_store_init (SsStore *store, const char *path)
{
  store->entries = g_array_new (FALSE, FALSE, sizeof (SsLogEntry));
  g_array_set_clear_func (store->entries, clear_entry);
  store->applied = 0;
  store->tables = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                         (GDestroyNotify) g_hash_table_destroy);
  store->file = NULL;
  if (!path)
    return;
  load_file (store, path);
  ss_store_apply_to (store, ss_store_last_position (store));
  store->file = fopen (path, "a");
}

void
ss_store_finish (SsStore *store)
{
  g_array_free (store->entries, TRUE);
  g_hash_table_destroy (store->tables);
  if (store->file)
    fclose (store->file);
}

uint64_t
ss_store_last_position (const SsStore *store)
{
  return store->entries->len;
}

const SsLogEntry *
ss_store_entry (const SsStore *store, uint64_t position)
{
  return &g_array_index (store->entries, SsLogEntry, position - 1);
}

uint64_t
ss_store_term_at (const SsStore *store, uint64_t position)
{
  if (position == 0 || position > ss_store_last_position (store))
    return 0;
  return ss_store_entry (store, position)->term;
}

uint64_t
ss_store_append (SsStore *store, uint64_t term, const char *payload,
                 int64_t now_ms)
{
  add_entry (store, term, payload, now_ms);
  if (store->file)
    {
      fprintf (store->file, "e%" G_GUINT64_FORMAT " %s\n", term, payload);
      fflush (store->file);
    }
  return ss_store_last_position (store);
}

void
ss_store_apply_to (SsStore *store, uint64_t position)
{
  while (store->applied < position
         && store->applied < ss_store_last_position (store))
    {
      store->applied++;
      apply_payload (store, ss_store_entry (store, store->applied)->payload);
    }
}

void
ss_store_truncate (SsStore *store, uint64_t position)
{
  uint64_t applied = MIN (store->applied, position);

  if (position >= ss_store_last_position (store))
    return;
  g_array_set_size (store->entries, (guint) position);
  if (store->file)
    {
      fprintf (store->file, "t%" G_GUINT64_FORMAT "\n", position);
      fflush (store->file);
    }
  if (store->applied <= position)
    return;
  g_hash_table_remove_all (store->tables);
  store->applied = 0;
  ss_store_apply_to (store, applied);
}

char *
ss_store_history (const SsStore *store)
{
  GString *out = g_string_new (NULL);
  uint64_t last = 0;

  for (uint64_t i = 1; i <= ss_store_last_position (store); i++)
    {
      uint64_t term = ss_store_term_at (store, i);

      if (term == last)
        continue;
      g_string_append_printf (out, "%s%" G_GUINT64_FORMAT ":%" G_GUINT64_FORMAT,
                              out->len ? "," : "", term, i);
      last = term;
    }
  return g_string_free (out, FALSE);
}

GHashTable *
ss_store_table (const SsStore *store, const char *table)
{
  return g_hash_table_lookup (store->tables, table);
}

const GPtrArray *
ss_store_values (const SsStore *store, const char *table, const char *key)
{
  GHashTable *t = ss_store_table (store, table);

  return t ? g_hash_table_lookup (t, key) : NULL;
}
