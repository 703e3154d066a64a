#include <curl/curl.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench/load.h"

/* Users require that a failover completes within 16 s. */
#define PRIMARY_TIMEOUT_MS 16000
#define PRIMARY_RETRY_MS 50

static PGconn *
connect_target (const char *address)
{
  char **parts = g_strsplit (address, ":", 2);
  char *conninfo = g_strdup_printf (
      "hostaddr=%s port=%s dbname=check user=replication sslmode=disable "
      "gssencmode=disable connect_timeout=2",
      parts[0], parts[1]);
  PGconn *pq = PQconnectdb (conninfo);

  g_free (conninfo);
  g_strfreev (parts);
  return pq;
}

/* Returns the term in which the target is primary, or 0 if it is not. */
static uint64_t
primary_term (PGconn *pq)
{
  PGresult *r = PQexec (pq, "SELECT * FROM sapphirestair_status()");
  uint64_t term = 0;

  if (PQresultStatus (r) == PGRES_TUPLES_OK
      && strcmp (PQgetvalue (r, 0, 0), "primary") == 0)
    term = g_ascii_strtoull (PQgetvalue (r, 0, 1), NULL, 10);
  PQclear (r);
  return term;
}

/* Returns the number of rows of each key. */
static GHashTable *
read_row_counts (PGconn *pq)
{
  GHashTable *counts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  PGresult *r = PQexec (pq, "SELECT key, value FROM " TABLE);

  for (int i = 0; i < PQntuples (r); i++)
    {
      const char *key = PQgetvalue (r, i, 0);
      guint rows = GPOINTER_TO_UINT (g_hash_table_lookup (counts, key));

      g_hash_table_insert (counts, g_strdup (key), GUINT_TO_POINTER (rows + 1));
    }
  PQclear (r);
  return counts;
}

/* Returns the number of rows of each key at the primary with the highest term,
 * or NULL if there is no primary now.
 */
static GHashTable *
read_primary_rows (void)
{
  GHashTable *best = NULL;
  uint64_t best_term = 0;

  for (uint32_t i = 0; load.targets && load.targets[i]; i++)
    {
      PGconn *pq = connect_target (load.targets[i]);
      uint64_t term = PQstatus (pq) == CONNECTION_OK ? primary_term (pq) : 0;

      if (term > best_term)
        {
          if (best)
            g_hash_table_destroy (best);
          best = read_row_counts (pq);
          best_term = term;
        }
      PQfinish (pq);
    }
  return best;
}

/* Retries because a failover may be in progress when the load ends. */
bool
load_compare (void)
{
  int64_t deadline_ms = load_now_ms () + PRIMARY_TIMEOUT_MS;
  GHashTable *best = read_primary_rows ();

  while (!best && load_now_ms () < deadline_ms)
    {
      g_usleep (PRIMARY_RETRY_MS * 1000);
      best = read_primary_rows ();
    }
  if (!best)
    return false;
  ss_ledger_compare (&load.ledger, best);
  g_hash_table_destroy (best);
  return true;
}

static size_t
append_text (char *data, size_t size, size_t count, void *user)
{
  g_string_append_len (user, data, (gssize) (size * count));
  return size * count;
}

static double
counter_value (const char *text, const char *name)
{
  char *line = g_strdup_printf ("\n%s ", name);
  const char *at = strstr (text, line);
  double value = at ? g_ascii_strtod (at + strlen (line), NULL) : 0;

  g_free (line);
  return value;
}

static double
sum_counter (const char *name)
{
  double sum = 0;

  for (uint32_t i = 0; load.admins && load.admins[i]; i++)
    {
      CURL *easy = curl_easy_init ();
      GString *text = g_string_new (NULL);
      char *url = g_strdup_printf ("http://%s/metrics", load.admins[i]);

      curl_easy_setopt (easy, CURLOPT_URL, url);
      curl_easy_setopt (easy, CURLOPT_PROXY, "");
      curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, 1000L);
      curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, append_text);
      curl_easy_setopt (easy, CURLOPT_WRITEDATA, text);
      if (curl_easy_perform (easy) == CURLE_OK)
        sum += counter_value (text->str, name);
      curl_easy_cleanup (easy);
      g_string_free (text, TRUE);
      g_free (url);
    }
  return sum;
}

static json_t *
reasons_json (void)
{
  json_t *json = json_object ();
  GHashTableIter iter;
  gpointer reason;
  gpointer count;

  g_hash_table_iter_init (&iter, load.ledger.reasons);
  while (g_hash_table_iter_next (&iter, &reason, &count))
    json_object_set_new (json, reason, json_integer (GPOINTER_TO_UINT (count)));
  return json;
}

void
load_print_report (bool compared)
{
  SsLedger *l = &load.ledger;
  double primary = sum_counter ("sapphirestair_reads_primary_total");
  double replica = sum_counter ("sapphirestair_reads_replica_total");
  double reads = primary + replica;
  uint64_t doubled = l->doubled + l->read_doubled;
  json_t *json = json_pack (
      "{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:f, s:I, s:f, "
      "s:f, s:I, s:I, s:b, s:f, s:o}",
      "statements", (json_int_t) l->statements, "acknowledged",
      (json_int_t) l->acknowledged_ops, "not_run", (json_int_t) l->not_run,
      "may_have_run", (json_int_t) l->may_have_run, "lost",
      (json_int_t) l->lost, "doubled", (json_int_t) doubled, "stale",
      (json_int_t) l->stale, "crossed", (json_int_t) l->crossed, "mixed",
      (json_int_t) l->mixed, "ran_though_not_run",
      (json_int_t) l->ran_though_not_run, "replica_read_share",
      reads > 0 ? replica / reads : 0.0, "failover_gap_ms",
      (json_int_t) l->failover_gap_ms, "p50_ms", ss_ledger_latency_ms (l, 0.5),
      "p99_ms", ss_ledger_latency_ms (l, 0.99), "writes",
      (json_int_t) l->acknowledged->len, "refused_connections",
      (json_int_t) l->refused_connections, "compared", compared,
      "statements_per_s",
      (double) l->statements * 1000.0
          / (double) MAX (load_now_ms () - load.started_ms, 1),
      "reasons", reasons_json ());
  char *text = json_dumps (json, JSON_COMPACT | JSON_REAL_PRECISION (5)
                                     | JSON_PRESERVE_ORDER);

  puts (text);
  free (text);
  json_decref (json);
}
