/* tight: the operator adds a route whose reads may be 200 ms old.  Do all
 * daemons still hand back the processor while it is used?
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "world.h"

#define DB_TIGHT "muri814" /* the added route */
#define READERS FRONTS     /* one at each front */
/* Few callers, as at night: a statement now and then. */
#define READ_PAUSE_MS 150
#define WRITE_PAUSE_MS 600
#define PAUSE_SPREAD_MS 250
#define APPLY_MS 3000 /* config_apply_ms */
#define RUN_MS 15000
#define CALM_MS 5000 /* without any caller, before the last look */

static volatile bool stopping;
static int done;
static int failed;
static int unanswered;

static void
count (const Answer *a)
{
  pthread_mutex_lock (&world_lock);
  if (a->kind == ANSWER_DONE)
    done++;
  else if (a->kind == ANSWER_ERROR)
    failed++;
  else
    unanswered++;
  pthread_mutex_unlock (&world_lock);
}

/* Sends TEXT at FRONT with pauses until the end. */
static void
call_on (int front, const char *db, const char *text, int pause_ms)
{
  Caller c;
  bool is_open = false;

  while (!stopping)
    {
      char id[32];
      Answer a;

      if (!is_open)
        is_open = caller_open (&c, front, db);
      if (!is_open)
        {
          a.kind = ANSWER_NONE;
          count (&a);
          sleep_ms (200);
          continue;
        }
      new_id (id);
      a = caller_query (&c, id, text, 3000);
      count (&a);
      if (a.kind == ANSWER_NONE || a.state != 'I')
        {
          caller_close (&c);
          is_open = false;
        }
      sleep_ms (pause_ms + rand () % PAUSE_SPREAD_MS);
    }
  if (is_open)
    caller_close (&c);
}

static void *
read_often (void *data)
{
  bool trouble = !getenv ("TROUBLE") || strcmp (getenv ("TROUBLE"), "0") != 0;

  call_on (*(int *) data, trouble ? DB_TIGHT : DB_BOUNDED, "READ a1",
           READ_PAUSE_MS);
  return NULL;
}

static void *
write_now_and_then (void *data)
{
  call_on (*(int *) data, DB_PRIMARY, "WRITE a1 x", WRITE_PAUSE_MS);
  return NULL;
}

int
main (int argc, char **argv)
{
  bool trouble = !getenv ("TROUBLE") || strcmp (getenv ("TROUBLE"), "0") != 0;
  pthread_t threads[READERS + 1];
  int numbers[READERS + 1];
  int hung = 0;

  if (argc < 2 || !world_start (argv[1]))
    {
      world_stop ();
      return 2;
    }
  if (trouble)
    {
      put_config (8, true);
      record ("the operator adds the route " DB_TIGHT
              ", bounded_staleness with max_staleness_ms 200");
    }
  sleep_ms (APPLY_MS);
  for (int i = 0; i < READERS + 1; i++)
    {
      numbers[i] = i < READERS ? i : FRONTS - 1;
      pthread_create (&threads[i], NULL,
                      i < READERS ? read_often : write_now_and_then,
                      &numbers[i]);
    }
  sleep_ms (RUN_MS);
  stopping = true;
  for (int i = 0; i < READERS + 1; i++)
    pthread_join (threads[i], NULL);
  sleep_ms (CALM_MS);
  for (int i = 0; i < FRONTS; i++)
    {
      bool answers = front_is_ready (i);
      double share = front_processor_share (i, 2000);

      record ("front %d: readiness %s; %.0f %% of a processor without any "
              "caller",
              i, answers ? "answers 200" : "no answer", share * 100);
      printf ("front %d: readiness %s; %.0f %% of a processor without any "
              "caller\n",
              i, answers ? "answers 200" : "no answer", share * 100);
      if (!answers && share > 0.5)
        hung++;
    }
  world_stop ();
  record ("%d done, %d refused, %d without an answer; %d daemons hang", done,
          failed, unanswered, hung);
  printf ("%d done, %d refused, %d without an answer; %d daemons hang\n", done,
          failed, unanswered, hung);
  if (!hung && done < 50)
    return 2;
  return hung ? 1 : 0;
}
