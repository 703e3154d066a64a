/* smuggle: a rude caller puts line feeds into the text of a statement.  A
 * message ends with CR LF, and its last field extends to there; does a server
 * run a part of the text as a statement of its own, or a shortened statement?
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "world.h"

#define HONEST 6
#define ROUNDS 40
#define RUDE_ROUNDS 10
#define PAUSE_MS 50
#define SENT_MAX 4096

typedef struct
{
  char id[32];
  char text[160];
} Sent;

static Sent sent[SENT_MAX];
static int sent_count;
static int done;

/* Notes that a caller sends a message with ID and TEXT. */
static void
note_sent (const char *id, const char *text)
{
  pthread_mutex_lock (&world_lock);
  if (sent_count < SENT_MAX)
    {
      snprintf (sent[sent_count].id, sizeof sent[0].id, "%s", id);
      snprintf (sent[sent_count].text, sizeof sent[0].text, "%s", text);
      sent_count++;
    }
  pthread_mutex_unlock (&world_lock);
}

static void *
behave (void *data)
{
  int number = *(int *) data;
  Caller c;

  if (!caller_open (&c, number % FRONTS, DB_PRIMARY))
    return NULL;
  for (int k = 0; k < ROUNDS; k++)
    {
      char id[32];
      char text[64];
      Answer a;

      new_id (id);
      sprintf (text, k % 4 == 0 ? "WRITE a%d x%d" : "READ a%d", number, k);
      note_sent (id, text);
      a = caller_query (&c, id, text, 3000);
      if (a.kind == ANSWER_DONE)
        {
          pthread_mutex_lock (&world_lock);
          done++;
          pthread_mutex_unlock (&world_lock);
        }
      sleep_ms (PAUSE_MS);
    }
  caller_close (&c);
  return NULL;
}

/* Sends one message; its text has a line feed and looks like two. */
static void *
smuggle (void *data)
{
  int number = *(int *) data;

  for (int k = 0; k < RUDE_ROUNDS; k++)
    {
      Caller c;
      char id[32];
      char hidden[32];
      char text[160];
      char line[256];

      if (!caller_open (&c, number % FRONTS, DB_PRIMARY))
        continue;
      new_id (id);
      new_id (hidden);
      sprintf (text, "WRITE b%d whole\nQUERY %s WRITE c%d hidden", number,
               hidden, number);
      note_sent (id, text);
      record ("rude caller sends one message with the id %s; its text is "
              "\"WRITE b%d whole<LF>QUERY %s WRITE c%d hidden\"",
              id, number, hidden, number);
      sprintf (line, "QUERY %s %s\r\n", id, text);
      caller_send (&c, line);
      while (caller_line (&c, line, sizeof line, 500))
        record ("rude caller gets %s", line);
      caller_close (&c);
    }
  return NULL;
}

/* Returns what a caller sent with ID, or NULL. */
static const char *
text_of (const char *id)
{
  for (int i = 0; i < sent_count; i++)
    if (strcmp (sent[i].id, id) == 0)
      return sent[i].text;
  return NULL;
}

int
main (int argc, char **argv)
{
  bool trouble = !getenv ("TROUBLE") || strcmp (getenv ("TROUBLE"), "0") != 0;
  pthread_t threads[HONEST + 2];
  int numbers[HONEST + 2];
  int unasked = 0;
  int changed = 0;

  if (argc < 2 || !world_start (argv[1]))
    {
      world_stop ();
      return 2;
    }
  for (int i = 0; i < HONEST + (trouble ? 2 : 0); i++)
    {
      numbers[i] = i;
      pthread_create (&threads[i], NULL, i < HONEST ? behave : smuggle,
                      &numbers[i]);
    }
  for (int i = 0; i < HONEST + (trouble ? 2 : 0); i++)
    pthread_join (threads[i], NULL);
  world_stop ();
  for (int i = 0; i < run_count; i++)
    {
      const char *text = text_of (runs[i].id);

      if (!text)
        {
          unasked++;
          record ("UNASKED: %s ran %s, and no caller sent a message with this "
                  "id",
                  runs[i].id, runs[i].text);
        }
      else if (strcmp (text, runs[i].text) != 0)
        {
          changed++;
          record ("CHANGED: %s ran with the text %s", runs[i].id,
                  runs[i].text);
        }
    }
  record ("%d statements run; %d with ids that nobody sent, %d with a changed "
          "text; %d honest ones done",
          run_count, unasked, changed, done);
  printf ("%d statements run; %d with ids that nobody sent, %d with a changed "
          "text; %d honest ones done\n",
          run_count, unasked, changed, done);
  if (done < HONEST * ROUNDS / 2)
    return 2;
  return unasked || changed ? 1 : 0;
}
