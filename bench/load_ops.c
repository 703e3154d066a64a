#include <string.h>

#include "bench/load.h"

static void
add_step (Caller *c, char *sql)
{
  c->steps[c->step_count++] = sql;
}

void
load_clear_steps (Caller *c)
{
  for (int32_t i = 0; i < c->step_count; i++)
    g_free (c->steps[i]);
  c->step_count = 0;
  c->step = 0;
}

static char *
insert_sql (const char *key)
{
  return g_strdup_printf ("INSERT INTO " TABLE " (key, value) "
                          "VALUES ('%s', '%s')",
                          key, key);
}

static void
build_write (Caller *c)
{
  const char *key = c->current_write->key;

  load_clear_steps (c);
  if (c->op == OP_WRITE_WITH_ID)
    add_step (c, g_strdup_printf ("SET sapphirestair.request_id = '%s'", key));
  if (c->op == OP_TRANSACTION)
    {
      add_step (c, g_strdup ("BEGIN"));
      add_step (c, insert_sql (key));
      add_step (c, insert_sql (c->current_write->second_key));
      add_step (c, g_strdup ("COMMIT"));
      return;
    }
  add_step (c, insert_sql (key));
}

static void
new_write (Caller *c)
{
  char key[40];
  char second_key[40];

  c->sequence++;
  g_snprintf (key, sizeof key, "c%d-%d", c->number, c->sequence);
  g_snprintf (second_key, sizeof second_key, "c%d-%d-b", c->number,
              c->sequence);
  c->current_write = ss_ledger_add (
      &load.ledger, key, c->op == OP_TRANSACTION ? second_key : NULL);
}

/* Returns a random write acknowledged by BOUND_MS, or NULL if eight tries find
 * none.
 */
static SsLedgerWrite *
pick_acknowledged (int64_t bound_ms)
{
  GPtrArray *acknowledged = load.ledger.acknowledged;

  for (int32_t tries = 0; acknowledged->len && tries < 8; tries++)
    {
      SsLedgerWrite *write = g_ptr_array_index (
          acknowledged,
          g_rand_int_range (load.rand, 0, (gint32) acknowledged->len));

      if (write->acknowledged_ms <= bound_ms)
        return write;
    }
  return NULL;
}

static void
build_read (Caller *c)
{
  bool bounded = c->op == OP_READ_BOUNDED;

  load_clear_steps (c);
  c->expected_write = c->last_acknowledged;
  if (bounded)
    c->expected_write = pick_acknowledged (load_now_ms () - load.staleness_ms);
  if (c->op == OP_READ_ANY)
    c->expected_write = pick_acknowledged (c->must_see_ms);
  c->may_be_absent = c->op == OP_READ_ANY && load.identity;
  add_step (c, g_strdup_printf ("SET sapphirestair.kind = '%s'",
                                bounded ? load.bounded_kind : "session"));
  add_step (
      c, g_strdup_printf ("SELECT value FROM " TABLE " WHERE key = '%s'",
                          c->expected_write ? c->expected_write->key : "none"));
  add_step (c, g_strdup ("RESET sapphirestair.kind"));
}

static void
choose_op_kind (Caller *c)
{
  if (c->number < load.readers)
    {
      c->op
          = load_chance (load.bounded_percent) ? OP_READ_BOUNDED : OP_READ_ANY;
      return;
    }
  if (!c->last_acknowledged || load_chance (load.write_percent))
    {
      c->op = OP_WRITE;
      if (load_chance (load.transaction_percent))
        c->op = OP_TRANSACTION;
      else if (load_chance (load.id_percent))
        c->op = OP_WRITE_WITH_ID;
      return;
    }
  c->op = load_chance (load.bounded_percent) ? OP_READ_BOUNDED : OP_READ_OWN;
}

bool
load_is_write (const Caller *c)
{
  return c->op == OP_WRITE || c->op == OP_WRITE_WITH_ID
         || c->op == OP_TRANSACTION;
}

void
load_choose_op (Caller *c)
{
  choose_op_kind (c);
  if (!load_is_write (c))
    {
      build_read (c);
      return;
    }
  new_write (c);
  build_write (c);
}
