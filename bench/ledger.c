#include "bench/ledger.h"

#include <string.h>

void
ss_ledger_init (SsLedger *ledger)
{
  memset (ledger, 0, sizeof *ledger);
  ledger->writes = g_ptr_array_new_with_free_func (g_free);
  ledger->acknowledged = g_ptr_array_new ();
  ledger->reasons
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  ledger->latencies_us = g_array_new (FALSE, FALSE, sizeof (uint32_t));
}

void
ss_ledger_finish (SsLedger *ledger)
{
  g_ptr_array_free (ledger->writes, TRUE);
  g_ptr_array_free (ledger->acknowledged, TRUE);
  g_array_free (ledger->latencies_us, TRUE);
  g_hash_table_destroy (ledger->reasons);
}

SsLedgerWrite *
ss_ledger_add (SsLedger *ledger, const char *key, const char *second_key)
{
  SsLedgerWrite *write = g_new0 (SsLedgerWrite, 1);

  g_strlcpy (write->key, key, sizeof write->key);
  g_strlcpy (write->second_key, second_key ? second_key : "",
             sizeof write->second_key);
  g_ptr_array_add (ledger->writes, write);
  return write;
}

void
ss_ledger_acknowledge (SsLedger *ledger, SsLedgerWrite *write, int64_t now_ms)
{
  write->outcome = SS_WRITE_ACKNOWLEDGED;
  write->acknowledged_ms = now_ms;
  ledger->last_acknowledged_ms = now_ms;
  g_ptr_array_add (ledger->acknowledged, write);
  if (!ledger->failing_since_ms)
    return;
  ledger->failover_gap_ms
      = MAX (ledger->failover_gap_ms, now_ms - ledger->failing_since_ms);
  ledger->failing_since_ms = 0;
}

void
ss_ledger_write_failed (SsLedger *ledger, int64_t sent_ms)
{
  /* The outage begins no earlier than the last acknowledged write. */
  if (!ledger->failing_since_ms)
    ledger->failing_since_ms = MAX (sent_ms, ledger->last_acknowledged_ms);
}

void
ss_ledger_count_reason (SsLedger *ledger, const char *detail)
{
  const char *at = strstr (detail, "reason=");
  const char *start = at ? at + strlen ("reason=") : "other";
  char *reason = g_strndup (start, strcspn (start, " "));
  guint count
      = GPOINTER_TO_UINT (g_hash_table_lookup (ledger->reasons, reason));

  g_hash_table_replace (ledger->reasons, reason, GUINT_TO_POINTER (count + 1));
}

static uint32_t
row_count (GHashTable *counts, const char *key)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (counts, key));
}

void
ss_ledger_compare (SsLedger *ledger, GHashTable *counts)
{
  for (guint i = 0; i < ledger->writes->len; i++)
    {
      const SsLedgerWrite *write = g_ptr_array_index (ledger->writes, i);
      uint32_t rows = row_count (counts, write->key);

      if (write->outcome == SS_WRITE_ACKNOWLEDGED && rows == 0)
        ledger->lost++;
      if (write->outcome == SS_WRITE_NOT_RUN && rows > 0)
        ledger->ran_though_not_run++;
      if (rows > 1)
        ledger->doubled++;
      if (*write->second_key
          && (rows > 0) != (row_count (counts, write->second_key) > 0))
        ledger->mixed++;
    }
}

static int
compare_latencies (gconstpointer a, gconstpointer b)
{
  uint32_t x = *(const uint32_t *) a;
  uint32_t y = *(const uint32_t *) b;

  return x < y ? -1 : x > y;
}

double
ss_ledger_latency_ms (SsLedger *ledger, double quantile)
{
  guint count = ledger->latencies_us->len;

  if (count == 0)
    return 0;
  g_array_sort (ledger->latencies_us, compare_latencies);
  return g_array_index (ledger->latencies_us, uint32_t,
                        (guint) (quantile * (count - 1)))
         / 1000.0;
}
