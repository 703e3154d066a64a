#include "tests/world/session_state.h"

#include <string.h>

/* Longer values are compared and shown by their digests. */
#define SHOWN_BYTES 100

void
world_state_init (WorldState *state)
{
  state->values
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  state->prepared
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
world_state_finish (WorldState *state)
{
  g_hash_table_destroy (state->values);
  g_hash_table_destroy (state->prepared);
}

void
world_state_clear (WorldState *state)
{
  g_hash_table_remove_all (state->values);
  g_hash_table_remove_all (state->prepared);
}

void
world_state_apply (WorldState *state, const SsStatement *st)
{
  if (st->kind == SS_STATEMENT_SET)
    g_hash_table_replace (state->values, g_strdup (st->name),
                          g_strdup (st->value));
  else if (st->kind == SS_STATEMENT_PREPARE)
    g_hash_table_replace (
        state->prepared, g_strdup (st->name),
        g_strconcat (st->is_read ? "READ " : "WRITE ", st->value, NULL));
  else if (st->kind == SS_STATEMENT_DEALLOCATE)
    g_hash_table_remove (state->prepared, st->name);
}

static void
add_piece (GString *out, const char *piece)
{
  size_t bytes = strlen (piece);
  char *digest;

  if (bytes <= SHOWN_BYTES)
    {
      g_string_append_printf (out, "%zu:%s", bytes, piece);
      return;
    }
  digest = g_compute_checksum_for_string (G_CHECKSUM_SHA256, piece, -1);
  g_string_append_printf (out, "%zu sha256:%s", bytes, digest);
  g_free (digest);
}

static gint
compare_names (gconstpointer a, gconstpointer b)
{
  return strcmp (a, b);
}

char *
world_state_values (const WorldState *state)
{
  GList *names
      = g_list_sort (g_hash_table_get_keys (state->values), compare_names);
  GString *out = g_string_new (NULL);

  for (GList *l = names; l; l = l->next)
    {
      add_piece (out, l->data);
      g_string_append_c (out, '=');
      add_piece (out, g_hash_table_lookup (state->values, l->data));
      g_string_append_c (out, ' ');
    }
  g_list_free (names);
  return g_string_free (out, FALSE);
}

const char *
world_state_prepared (const WorldState *state, const char *name)
{
  return g_hash_table_lookup (state->prepared, name);
}
