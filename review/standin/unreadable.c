/* unreadable: the store holds one entry of kind "servers" by another writer
 * that can't be read, and a server announces that it leaves.  Does work still
 * reach the server later than drain_ms after the store accepted that?
 *
 * With FINAL=1 no server leaves.  All processes are killed instead and start
 * again; is a quarter of the requests served from recovery_s after that?
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "world.h"

#define CALLERS 12
#define PAUSE_MS 20
#define LEAVING 1 /* a replica */
#define BEFORE_MS 3000
#define DRAIN_MS 7000
#define AFTER_MS 12000
#define DOWN_MS 1000
#define RECOVERY_MS 12000

static volatile bool stopping;
static int done;
static int failed;

static void
count (bool is_done)
{
  pthread_mutex_lock (&world_lock);
  if (is_done)
    done++;
  else
    failed++;
  pthread_mutex_unlock (&world_lock);
}

/* Sends single reads and writes until the end. */
static void *
call_again_and_again (void *data)
{
  static const char *const dbs[] = { DB_PRIMARY, DB_OWN, DB_BOUNDED };
  int number = *(int *) data;
  Caller c;
  bool is_open = false;

  for (int k = 0; !stopping; k++)
    {
      const char *db = dbs[number % 3];
      bool writes = number % 3 != 2 && k % 8 == 0;
      char id[32];
      char text[64];
      Answer a;

      if (!is_open)
        is_open = caller_open (&c, (number + k) % FRONTS, db);
      if (!is_open)
        {
          count (false);
          sleep_ms (200);
          continue;
        }
      new_id (id);
      sprintf (text, writes ? "WRITE a%d x%d" : "READ a%d", number, k);
      a = caller_query (&c, id, text, 3000);
      count (a.kind == ANSWER_DONE);
      if (a.kind == ANSWER_NONE || a.state != 'I')
        {
          caller_close (&c);
          is_open = false;
        }
      sleep_ms (PAUSE_MS);
    }
  if (is_open)
    caller_close (&c);
  return NULL;
}

/* The entry of the other writer.  Its zone is of bytes that are no UTF-8; with
 * UNREADABLE=number its slots are a number beyond 64 bits instead.
 */
static void
put_unreadable (void)
{
  const char *variant = getenv ("UNREADABLE");
  bool number = variant && strcmp (variant, "number") == 0;
  char spec[512];

  sprintf (spec,
           "{\"service\":\"" SERVICE "\",\"address\":\"127.0.0.9:8080\","
           "\"zone\":\"%s\",\"version\":\"v1\",\"slots\":%s,"
           "\"state\":\"ready\",\"cold_left_ms\":0,"
           "\"db_role\":\"replica\",\"sequence\":1}",
           number ? "odense-hal" : "\xff\xfe\x80",
           number ? "100000000000000000000" : "3");
  store_put ("servers", "i-0000beef", spec);
  record ("the store holds an entry that can't be read (%s)",
          number ? "a number beyond 64 bits" : "bytes that are no UTF-8");
}

/* Kills all daemons and starts them again.  Returns whether the rule RECOVER
 * is broken.
 */
static bool
is_recovery_broken (void)
{
  int done_before = done;
  int failed_before = failed;
  int served;
  int unserved;

  for (int f = 0; f < FRONTS; f++)
    front_kill (f);
  sleep_ms (DOWN_MS);
  for (int f = 0; f < FRONTS; f++)
    front_start (f);
  sleep_ms (RECOVERY_MS);
  served = done;
  unserved = failed;
  sleep_ms (AFTER_MS);
  served = done - served;
  unserved = failed - unserved;
  record ("before the final fault %d requests of %d were served, from 12 s "
          "after the daemons were back %d of %d",
          done_before, done_before + failed_before, served, served + unserved);
  printf ("before the final fault %d requests of %d were served, from 12 s "
          "after the daemons were back %d of %d\n",
          done_before, done_before + failed_before, served, served + unserved);
  return served * 4 < served + unserved;
}

static bool
is_set (const char *name)
{
  const char *value = getenv (name);

  return value && strcmp (value, "0") != 0;
}

int
main (int argc, char **argv)
{
  bool trouble = !getenv ("TROUBLE") || is_set ("TROUBLE");
  pthread_t threads[CALLERS];
  int numbers[CALLERS];
  char spec[512];
  int64_t acked_ms;
  int before = 0;
  int in_time = 0;
  int late = 0;
  int64_t last_ms = 0;

  server_work_ms = 8;
  if (argc < 2 || !world_start (argv[1]))
    {
      world_stop ();
      return 2;
    }
  for (int i = 0; i < CALLERS; i++)
    {
      numbers[i] = i;
      pthread_create (&threads[i], NULL, call_again_and_again, &numbers[i]);
    }
  sleep_ms (BEFORE_MS);
  if (trouble)
    put_unreadable ();
  sleep_ms (BEFORE_MS);
  if (is_set ("FINAL"))
    {
      bool broken = is_recovery_broken ();

      stopping = true;
      for (int i = 0; i < CALLERS; i++)
        pthread_join (threads[i], NULL);
      world_stop ();
      return broken ? 1 : 0;
    }
  server_spec (LEAVING, "draining", spec);
  acked_ms = store_put ("servers", server_id (LEAVING), spec);
  record ("the store has accepted that %s is draining", server_id (LEAVING));
  sleep_ms (AFTER_MS);
  stopping = true;
  for (int i = 0; i < CALLERS; i++)
    pthread_join (threads[i], NULL);
  world_stop ();
  for (int i = 0; i < run_count; i++)
    {
      if (runs[i].server != LEAVING || !runs[i].first)
        continue;
      if (runs[i].at_ms <= acked_ms)
        before++;
      else if (runs[i].at_ms <= acked_ms + DRAIN_MS)
        in_time++;
      else
        late++;
      last_ms = runs[i].at_ms - acked_ms;
    }
  record ("answers: %d done, %d not; runs at %s: %d before the ack, %d up to "
          "drain_ms after it, %d later, the last one %lld ms after it",
          done, failed, server_id (LEAVING), before, in_time, late,
          (long long) last_ms);
  printf ("done %d failed %d; runs at the draining server: %d before, %d within"
          " drain_ms, %d later; the last %lld ms after the ack\n",
          done, failed, before, in_time, late, (long long) last_ms);
  if (!before || done < 100)
    return 2;
  return late ? 1 : 0;
}
