#include "tests/world/callers.h"

#include <string.h>

#include "tests/server_reader.h"
#include "tests/world/history.h"
#include "tests/world/net.h"
#include "tests/world/texts.h"

#define OPEN_MS 2000
#define ANSWER_MS 4000
#define REOPEN_MS 50
#define PAUSE_MS 20
#define CLOSE_PERMILLE 20
/* One caller sends a huge text once in so many statements. */
#define HUGE_EVERY 80
/* It is one of these. */
#define HUGE_CALLERS 4

typedef struct
{
  uint32_t number;
  uint32_t seed;
  int64_t end_ms;
  GRand *rand;
  GQueue texts; /* to be sent before any other */
  uint32_t sent_count;
  bool open;
  uint32_t session;
  uint32_t transaction;
  char status;
  WorldState state;
  WorldStream stream;
} Caller;

static const char *const databases[]
    = { WORLD_DATABASE_PRIMARY, WORLD_DATABASE_PRIMARY,
        WORLD_DATABASE_OWN_WRITES, WORLD_DATABASE_BOUNDED };
static gint session_count;
static gint transaction_count;
static GPtrArray *threads;

static void
close_session (Caller *c)
{
  if (c->open)
    world_stream_finish (&c->stream);
  c->open = false;
  g_queue_clear_full (&c->texts, g_free);
}

static bool
open_stream (Caller *c)
{
  char *ip = world_vm_ip ((uint32_t) g_rand_int_range (c->rand, 0, WORLD_VMS));
  int fd = world_connect (ip, WORLD_CALLERS_PORT, OPEN_MS);

  g_free (ip);
  if (fd >= 0)
    world_stream_init (&c->stream, fd);
  return fd >= 0;
}

static void
open_session (Caller *c)
{
  const char *database = databases[c->number % G_N_ELEMENTS (databases)];
  char *message = g_strdup_printf ("CONNECT %s u3f1\r\n", database);
  char *line = NULL;

  c->open = open_stream (c);
  if (c->open && world_send (c->stream.fd, message, strlen (message)))
    line = world_stream_line (&c->stream, OPEN_MS);
  c->session = (uint32_t) g_atomic_int_add (&session_count, 1) + 1;
  c->status = 'I';
  c->transaction = 0;
  world_state_clear (&c->state);
  if (c->open && !(line && g_str_has_prefix (line, "READY I")))
    close_session (c);
  g_free (message);
  g_free (line);
}

/* --- one statement --- */

static char *
new_id (Caller *c)
{
  return g_strdup_printf ("%08x%08x", g_rand_int (c->rand),
                          g_rand_int (c->rand));
}

static WorldSent *
note_sent (Caller *c, const char *text, const SsStatement *st)
{
  char *id = new_id (c);
  char *printable = world_printable (text);
  WorldSent *sent = world_history_sent (id, text);

  sent->session = c->session;
  sent->transaction = c->transaction;
  sent->values = world_state_values (&c->state);
  if (st->kind == SS_STATEMENT_EXECUTE)
    sent->prepared = g_strdup (world_state_prepared (&c->state, st->name));
  world_record ("session %u, transaction %u, sends %s %s", c->session,
                c->transaction, id, printable);
  g_free (printable);
  g_free (id);
  return sent;
}

/* Takes one line of the answer.  Returns true if it is the last one. */
static bool
take_answer_line (Caller *c, WorldSent *sent, const char *line, GString *rows)
{
  if (g_str_has_prefix (line, "ROW "))
    g_string_append_printf (rows, "%s\n", line + strlen ("ROW "));
  else if (g_str_has_prefix (line, "COMPLETE "))
    {
      sent->outcome = WORLD_DONE;
      sent->answer = g_strdup (line + strlen ("COMPLETE "));
    }
  else if (g_str_has_prefix (line, "ERROR "))
    {
      sent->outcome = WORLD_ERROR;
      sent->answer = g_strdup (line + strlen ("ERROR "));
    }
  else if (g_str_has_prefix (line, "READY "))
    {
      c->status = line[strlen ("READY ")];
      return true;
    }
  return false;
}

/* An answer counts once it is whole. */
static void
read_answer (Caller *c, WorldSent *sent)
{
  GString *rows = g_string_new (NULL);
  bool whole = false;
  char *line;

  while (!whole && (line = world_stream_line (&c->stream, ANSWER_MS)))
    {
      whole = take_answer_line (c, sent, line, rows);
      g_free (line);
    }
  sent->rows = g_string_free (rows, FALSE);
  if (!whole)
    sent->outcome = WORLD_NO_ANSWER;
}

static void
record_answer (const Caller *c, const WorldSent *sent)
{
  static const char *const outcomes[] = { "no answer", "COMPLETE", "ERROR" };
  char *rows = world_printable (sent->rows);

  world_record ("session %u gets %s %s %s, rows %s, state %c", c->session,
                sent->id, outcomes[sent->outcome],
                sent->answer ? sent->answer : "", rows, c->status);
  g_free (rows);
}

static WorldSent *
send_statement (Caller *c, const char *text, const SsStatement *st)
{
  WorldSent *sent = note_sent (c, text, st);
  char *message = g_strconcat ("QUERY ", sent->id, " ", text, "\r\n", NULL);

  if (world_send (c->stream.fd, message, strlen (message)))
    read_answer (c, sent);
  else
    sent->rows = g_strdup ("");
  record_answer (c, sent);
  g_free (message);
  return sent;
}

static bool
is_of_session (const SsStatement *st)
{
  return st->kind == SS_STATEMENT_SET || st->kind == SS_STATEMENT_PREPARE
         || st->kind == SS_STATEMENT_DEALLOCATE;
}

/* Does what callers do after an answer. */
static void
follow_answer (Caller *c, const SsStatement *st, const WorldSent *sent)
{
  bool done = sent->outcome == WORLD_DONE;

  if (sent->outcome == WORLD_NO_ANSWER || (!done && is_of_session (st)))
    {
      close_session (c);
      return;
    }
  if (done)
    world_state_apply (&c->state, st);
  if (c->status == 'I')
    c->transaction = 0;
  else if (done && st->kind == SS_STATEMENT_BEGIN)
    c->transaction = (uint32_t) g_atomic_int_add (&transaction_count, 1) + 1;
  else if (!done && st->kind == SS_STATEMENT_ROLLBACK)
    close_session (c);
  else if (!done)
    g_queue_push_head (&c->texts, g_strdup ("ROLLBACK"));
}

static char *
next_text (Caller *c)
{
  c->sent_count++;
  if (c->number == c->seed % HUGE_CALLERS && c->sent_count % HUGE_EVERY == 0)
    world_texts_push_huge (&c->texts, c->seed + c->sent_count / HUGE_EVERY);
  if (!g_queue_is_empty (&c->texts))
    return g_queue_pop_head (&c->texts);
  return world_texts_next (c->rand, c->status, &c->state);
}

static void
run_statement (Caller *c)
{
  char *text = next_text (c);
  SsStatement st;

  server_reader_read (text, &st);
  follow_answer (c, &st, send_statement (c, text, &st));
  ss_statement_finish (&st);
  g_free (text);
}

/* --- callers --- */

/* Whether the caller ends its session here, or the other end did. */
static bool
leaves (Caller *c)
{
  return !world_stream_is_quiet (&c->stream)
         || g_rand_int_range (c->rand, 0, 1000) < CLOSE_PERMILLE;
}

static void
step (Caller *c)
{
  if (!c->open)
    open_session (c);
  if (!c->open)
    {
      world_sleep_ms (REOPEN_MS);
      return;
    }
  run_statement (c);
  world_sleep_ms (g_rand_int_range (c->rand, 0, PAUSE_MS));
  if (c->open && leaves (c))
    close_session (c);
}

static gpointer
run_caller (gpointer data)
{
  Caller *c = data;

  while (world_now_ms () < c->end_ms)
    step (c);
  close_session (c);
  world_state_finish (&c->state);
  g_rand_free (c->rand);
  g_free (c);
  return NULL;
}

void
world_callers_start (uint32_t seed, uint32_t count, int64_t end_ms)
{
  threads = g_ptr_array_new ();
  for (uint32_t i = 0; i < count; i++)
    {
      Caller *c = g_new0 (Caller, 1);
      guint32 seeds[] = { seed, i };

      c->number = i;
      c->seed = seed;
      c->end_ms = end_ms;
      c->rand = g_rand_new_with_seed_array (seeds, G_N_ELEMENTS (seeds));
      g_queue_init (&c->texts);
      world_state_init (&c->state);
      g_ptr_array_add (threads, g_thread_new ("caller", run_caller, c));
    }
}

void
world_callers_join (void)
{
  for (guint i = 0; i < threads->len; i++)
    g_thread_join (g_ptr_array_index (threads, i));
  g_ptr_array_free (threads, TRUE);
}
