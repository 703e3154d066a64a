/* partial: the store holds four entries of kind "servers" by another writer
 * that lack fields, and all processes are killed and start again.  Is a quarter
 * of the requests served from recovery_s after that?
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "world.h"

#define CALLERS 12
#define PARTIAL 4 /* entries of the other writer */
#define PAUSE_MS 20
#define BEFORE_MS 3000
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

/* Entries without version, slots, cold_left_ms, db_role and sequence.  Nothing
 * listens at their addresses.
 */
static void
put_partial (void)
{
  const char *count = getenv ("PARTIAL");
  int entries = count ? atoi (count) : PARTIAL;

  for (int i = 0; i < entries; i++)
    {
      char name[32];
      char spec[256];

      sprintf (name, "i-0000bee%d", i);
      sprintf (spec,
               "{\"service\":\"" SERVICE "\",\"address\":\"127.0.0.9:%d\","
               "\"zone\":\"odense-hal\",\"state\":\"ready\"}",
               8090 + i);
      store_put ("servers", name, spec);
    }
  record ("the store holds %d entries that lack fields", entries);
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

int
main (int argc, char **argv)
{
  bool trouble = !getenv ("TROUBLE") || strcmp (getenv ("TROUBLE"), "0") != 0;
  pthread_t threads[CALLERS];
  int numbers[CALLERS];
  int served;
  int unserved;
  bool broken;

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
  served = done;
  unserved = failed;
  if (trouble)
    put_partial ();
  sleep_ms (BEFORE_MS);
  record ("in the 3 s before the final fault %d requests were served, %d not",
          done - served, failed - unserved);
  printf ("in the 3 s before the final fault %d requests were served, %d not\n",
          done - served, failed - unserved);
  broken = is_recovery_broken ();
  stopping = true;
  for (int i = 0; i < CALLERS; i++)
    pthread_join (threads[i], NULL);
  world_stop ();
  return broken ? 1 : 0;
}
